#ifndef GENTIAN_GATEWAY_DAEMON_TARGET_CALL_H_
#define GENTIAN_GATEWAY_DAEMON_TARGET_CALL_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Metadata that the gateway adds to a request for a target. */
struct target_call {
  /** The intended target; another target at its address refuses the request. */
  std::string target_id;
  /** Empty on routes that need no key. */
  std::string team;
  milliseconds time_left{0};
  /** Identifier of the event after which a stream resumes; empty if none. */
  std::string last_event_id;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_TARGET_CALL_H_
