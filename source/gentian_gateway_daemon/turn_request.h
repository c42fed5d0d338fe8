#ifndef GENTIAN_GATEWAY_DAEMON_TURN_REQUEST_H_
#define GENTIAN_GATEWAY_DAEMON_TURN_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"

namespace gentian {

/** Asks the daemon that owns a program to admit one of its turns. */
struct turn_request {
  /** The caller's request ID, for logs. */
  std::string request_id;
  std::string program;
  std::string service;
  int priority = 0;
  /** Tokens that all turns of the program may generate. */
  std::int64_t budget = 0;
  /** Tokens that this turn may generate. */
  std::int64_t max_output_tokens = 0;
  milliseconds finish_within{0};
  milliseconds time_left{0};
  /** Time after which the turn is refused if it has not been admitted. */
  milliseconds wait_limit{0};
  /** Failure domain of the daemon that sends the turn; empty if that daemon
      doesn't say. */
  std::string failure_domain{};
  /** Regions in which the turn may run; nothing for any. Owners of the build
      before ignore them; the target that such an owner names is then not used
      if it is in another region. */
  std::optional<std::vector<std::string>> homes{};
};

/** The owner's answer. */
struct turn_verdict {
  enum class outcome {
    granted,
    /** The remaining budget is too small for the turn. */
    budget_spent,
    /** The budget could not be read or written. */
    unavailable,
    /** The turn was queued for longer than its wait limit. */
    overloaded,
    /** Not decided yet; ask again. */
    undecided,
  };

  outcome result = outcome::unavailable;
  /** Identifies the turn at its owner. */
  turn_ticket ticket = 0;
  /** The preferred target; empty for any. */
  std::string target;
  /** The tokens of a granted turn were claimed before. Owners of the build
      before don't say so. */
  bool is_claimed = false;
};

/** The stable name of an outcome. */
const char* NameOf(turn_verdict::outcome outcome);

/** The end of a turn that was granted. */
struct turn_end {
  turn_ticket ticket = 0;
  std::string program;
  std::string service;
  std::int64_t reserved = 0;
  /** Tokens that reached the caller. */
  std::int64_t used = 0;
  std::string target;
  /** Average time between events; nothing if there were too few. */
  std::optional<milliseconds> event_interval;
  /** Its time is not sent. */
  std::optional<reported_load> load;
  /** Age of a load report with a pace; the header of a stream comes long before
      its end. */
  milliseconds load_age{0};
  /** As in the verdict. It is not sent. */
  bool is_claimed = false;
};

/** The owner's answer to a turn_end. */
struct turn_end_answer {
  /** The owner knew the turn, and counts what it has left. Owners of the build
      before always do. */
  bool is_known = true;
};

/** Wire formats between daemons. */
void to_json(json& out, const turn_request& value);
void from_json(const json& in, turn_request& value);
void to_json(json& out, const turn_verdict& value);
void from_json(const json& in, turn_verdict& value);
void to_json(json& out, const turn_end& value);
void from_json(const json& in, turn_end& value);
void to_json(json& out, const turn_end_answer& value);
void from_json(const json& in, turn_end_answer& value);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_TURN_REQUEST_H_
