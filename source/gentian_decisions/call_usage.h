#ifndef GENTIAN_DECISIONS_CALL_USAGE_H_
#define GENTIAN_DECISIONS_CALL_USAGE_H_

#include <cstdint>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Token usage of one call. */
struct call_usage {
  std::uint64_t prompt_tokens = 0;
  /** Portion of prompt_tokens that the engine had in its cache. */
  std::uint64_t cached_tokens = 0;
  std::uint64_t generated_tokens = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_usage,
                                   prompt_tokens,
                                   cached_tokens,
                                   generated_tokens)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALL_USAGE_H_
