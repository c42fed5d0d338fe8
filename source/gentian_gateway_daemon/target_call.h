#ifndef GENTIAN_GATEWAY_DAEMON_TARGET_CALL_H_
#define GENTIAN_GATEWAY_DAEMON_TARGET_CALL_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What the gateway adds to a request for a target. */
struct target_call {
  /** The target that is meant; another one at its address refuses. */
  std::string target_id;
  /** Empty on routes that need no key. */
  std::string team;
  milliseconds time_left{0};
  /** Set when a stream goes on after this event. */
  std::string last_event_id;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_TARGET_CALL_H_
