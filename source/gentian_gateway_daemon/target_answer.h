#ifndef GENTIAN_GATEWAY_DAEMON_TARGET_ANSWER_H_
#define GENTIAN_GATEWAY_DAEMON_TARGET_ANSWER_H_

#include <optional>
#include <string>

#include "gentian_gateway/target_table.h"

namespace gentian {

/** What the head of a target's answer says. */
struct target_answer {
  int status = 0;
  /** The target promises that it has not run the request and never will. */
  bool not_run = false;
  /** Another target answered than the one that was meant. */
  bool wrong_target = false;
  /** The answer carries the target's signature; one without it is not the
      target's answer to a request that it ran. */
  bool is_signed = false;
  bool is_event_stream = false;
  std::string request_id;
  std::optional<reported_load> load;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_TARGET_ANSWER_H_
