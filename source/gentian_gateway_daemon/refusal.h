#ifndef GENTIAN_GATEWAY_DAEMON_REFUSAL_H_
#define GENTIAN_GATEWAY_DAEMON_REFUSAL_H_

#include <optional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Why a request is not answered by a target. */
enum class refusal_reason {
  malformed,
  too_large,
  unknown_key,
  unknown_route,
  over_allowance,
  allowance_unavailable,
  budget_spent,
  /** The daemon knows no configuration, or not a recent enough one. */
  stale_configuration,
  budget_unavailable,
  /** The engines are busy with more urgent turns. */
  overloaded,
  no_target,
  targets_full,
  /** The time ran out before the request reached a target. */
  too_late,
  /** From here on the request may have run. */
  target_timeout,
  target_failed,
};

/** The stable name of a reason, for counters and logs. */
const char* NameOf(refusal_reason reason);

/** The HTTP status that carries a reason. */
int HttpStatusOf(refusal_reason reason);

/** An answer of the gateway itself. */
struct refusal {
  refusal_reason reason = refusal_reason::no_target;
  /** When the caller may come back. */
  std::optional<milliseconds> retry_after;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_REFUSAL_H_
