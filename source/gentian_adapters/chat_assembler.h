#ifndef GENTIAN_ADAPTERS_CHAT_ASSEMBLER_H_
#define GENTIAN_ADAPTERS_CHAT_ASSEMBLER_H_

#include <cstdint>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Joins the chunks of a streamed chat completion into the whole answer. */
class chat_assembler {
 public:
  /** Adds a chunk. One that was added before is ignored, so that a resumed
      stream can go on with the same assembler.

      @param offset  position of the chunk in the stream
  */
  void Add(std::uint64_t offset, const json& chunk);

  /** The answer as a call without streaming would have returned it. */
  json Answer() const;

 private:
  std::uint64_t next_offset_ = 0;
  json first_;
  json usage_;
  json tool_calls_ = json::array();
  std::string content_;
  std::string finish_reason_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_CHAT_ASSEMBLER_H_
