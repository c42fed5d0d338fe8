#ifndef GENTIAN_DECISIONS_LIMIT_DECISION_H_
#define GENTIAN_DECISIONS_LIMIT_DECISION_H_

#include <optional>

#include "gentian_decisions/work_item.h"

namespace gentian {

/** The result of a team_limiter::Acquire call. */
struct limit_decision {
  ticket_id ticket = 0;
  /** Empty if the ticket received a token. */
  std::optional<error> refusal;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_LIMIT_DECISION_H_
