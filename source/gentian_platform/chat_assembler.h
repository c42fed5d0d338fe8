#ifndef GENTIAN_PLATFORM_CHAT_ASSEMBLER_H_
#define GENTIAN_PLATFORM_CHAT_ASSEMBLER_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Joins the chunks of a streamed chat completion into the whole answer. */
class chat_assembler {
 public:
  /** Adds one chunk. */
  void Add(const json& chunk);

  /** The answer as a call without streaming would have returned it. */
  json Answer() const;

 private:
  json first_;
  json usage_;
  json tool_calls_ = json::array();
  std::string content_;
  std::string finish_reason_;
};

}  // namespace gentian

#endif  // GENTIAN_PLATFORM_CHAT_ASSEMBLER_H_
