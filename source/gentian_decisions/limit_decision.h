#ifndef GENTIAN_DECISIONS_LIMIT_DECISION_H_
#define GENTIAN_DECISIONS_LIMIT_DECISION_H_

#include <optional>

#include "gentian_decisions/work_item.h"

namespace gentian {

/** What a team_limiter decided on a ticket. */
struct limit_decision {
  ticket_id ticket = 0;
  /** Empty if the ticket has a token. */
  std::optional<error> refusal;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_LIMIT_DECISION_H_
