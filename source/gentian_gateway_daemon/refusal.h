#ifndef GENTIAN_GATEWAY_DAEMON_REFUSAL_H_
#define GENTIAN_GATEWAY_DAEMON_REFUSAL_H_

#include <optional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Why the gateway answers a request itself instead of a target. */
enum class refusal_reason {
  malformed,
  too_large,
  unknown_key,
  unknown_route,
  over_allowance,
  allowance_unavailable,
  budget_spent,
  /** The daemon has no configuration, or it is too old. */
  stale_configuration,
  budget_unavailable,
  /** The turn that the request continues from doesn't exist. */
  unknown_turn,
  /** A turn store that may hold the history did not answer. */
  history_unavailable,
  /** It is not known which software began the stream that the request
      resumes. */
  stream_origin_unknown,
  /** No target runs the software that began the stream any more. */
  stream_software_gone,
  /** The turn waited too long because the engines were busy with more urgent
      turns. */
  overloaded,
  no_target,
  /** There are targets, but none in a region in which the request may run. */
  home_unavailable,
  targets_full,
  /** The targets get as many requests as the limits that they name allow. */
  targets_limited,
  /** The request has ended the targets that ran it. */
  blocked_request,
  /** The deadline passed before the request reached a target. */
  too_late,
  /** The process stops before an answer can be expected. */
  stopping,
  /** The request is large, and the process has no memory for it now. */
  no_memory,
  /** From here on the request may have run. */
  target_timeout,
  target_failed,
  /** The turn has run, but too few turn stores hold it. */
  turn_not_kept,
};

/** The stable name of a reason, for counters and logs. */
const char* NameOf(refusal_reason reason);

/** The HTTP status that carries a reason. */
int HttpStatusOf(refusal_reason reason);

/** An error response of the gateway itself. */
struct refusal {
  refusal_reason reason = refusal_reason::no_target;
  /** Delay after which the caller may retry. */
  std::optional<milliseconds> retry_after;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_REFUSAL_H_
