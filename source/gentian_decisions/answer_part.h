#ifndef GENTIAN_DECISIONS_ANSWER_PART_H_
#define GENTIAN_DECISIONS_ANSWER_PART_H_

#include <cstdint>
#include <variant>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** One event of a streamed answer. Ids start at 1 and increase by 1 within a
    call, so that a caller can resume after the last event it received.
*/
struct answer_event {
  static constexpr const char* kType = "event";

  std::uint64_t id = 0;
  json data;
};

/** End of an answer. Has the complete body, also for streamed calls. */
struct final_answer {
  static constexpr const char* kType = "final";

  std::uint64_t event_id = 0;
  /** Position of the call in its session; 0 outside sessions. */
  std::uint64_t call = 0;
  json body;
};

/** Part of an answer to a caller. A final_answer or an error ends it. */
using answer_part = std::variant<answer_event, final_answer, error>;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_event, id, data)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(final_answer, event_id, call, body)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_ANSWER_PART_H_
