#ifndef GENTIAN_GATEWAY_DAEMON_TARGET_ANSWER_H_
#define GENTIAN_GATEWAY_DAEMON_TARGET_ANSWER_H_

#include <optional>
#include <string>

#include "gentian_gateway/target_table.h"

namespace gentian {

/** The decoded status and headers of a target's response. */
struct target_answer {
  int status = 0;
  /** The target promises that it has not run the request and never will. */
  bool not_run = false;
  /** A target other than the intended one answered. */
  bool wrong_target = false;
  /** The response carries the target's signature. A response without it is not
      the target's answer to a request that it ran. */
  bool is_signed = false;
  bool is_event_stream = false;
  /** The target says that it leaves and takes no new requests. */
  bool is_leaving = false;
  std::string request_id;
  std::optional<reported_load> load;
  /** Requests per second that the target takes from all gateways together;
      nothing if it names no limit. */
  std::optional<double> rate_limit;
  /** Time for which the target stays cold; nothing if it doesn't say. */
  std::optional<milliseconds> cold_left;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_TARGET_ANSWER_H_
