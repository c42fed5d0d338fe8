#ifndef GENTIAN_DECISIONS_SESSION_RECORD_H_
#define GENTIAN_DECISIONS_SESSION_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "gentian_decisions/budget_amount.h"
#include "gentian_decisions/call_usage.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** First record of a session. */
struct session_opened {
  static constexpr const char* kType = "session_opened";

  team_id team;
  program_id program;
  std::optional<session_id> parent;
  session_id root;
  budget_limits limits;
};

/** A call is about to be dispatched by one incarnation. */
struct call_started {
  static constexpr const char* kType = "call_started";

  /** Position in the session, from 1. */
  std::uint64_t call = 0;
  /** Tool name; empty for a model call. */
  std::string tool;
  std::string idempotency_key;
  json body;
  bool repeatable = false;
  budget_amount reservation;
  /** The only incarnation that may dispatch the call. */
  incarnation by;
};

/** A repeatable call is about to be dispatched again. */
struct call_retried {
  static constexpr const char* kType = "call_retried";

  std::uint64_t call = 0;
  budget_amount reservation;
};

/** A call has ended. A later record replaces one with outcome `unknown`. */
struct call_finished {
  static constexpr const char* kType = "call_finished";

  std::uint64_t call = 0;
  call_outcome outcome = call_outcome::unknown;
  /** True if the position and the idempotency key can be reused: the call has
      not run, or it was interrupted and is repeatable. */
  bool position_free = false;
  json body;
  std::optional<error> failure;
  call_usage usage;
  budget_amount used;
  /** Id of the final event of the answer. */
  std::uint64_t last_event = 1;
};

/** A child session reserves a part of this session's budget. */
struct child_opened {
  static constexpr const char* kType = "child_opened";

  session_id child;
  budget_amount reservation;
};

/** A child session has ended; its unused budget returns to this session. */
struct child_ended {
  static constexpr const char* kType = "child_ended";

  session_id child;
  budget_amount used;
};

/** The session was rebuilt from checkpoints, so its newest calls may be
    missing. From here on it accepts only repeatable calls.
*/
struct session_restored {
  static constexpr const char* kType = "session_restored";
};

/** Last record of a session. */
struct session_ended {
  static constexpr const char* kType = "session_ended";
};

/** Content of a record. */
using session_record_body = std::variant<session_opened,
                                         call_started,
                                         call_retried,
                                         call_finished,
                                         child_opened,
                                         child_ended,
                                         session_restored,
                                         session_ended>;

/** One entry of a session's log. The state of a session results from applying
    its records in order.
*/
struct session_record {
  /** Position in the log, from 1, without gaps. */
  std::uint64_t number = 0;
  /** Time since the session was opened, on the clock of its owner. */
  milliseconds elapsed{0};
  session_record_body body;
};

void to_json(json& out, const session_record& value);
void from_json(const json& in, session_record& value);

NLOHMANN_JSON_SERIALIZE_ENUM(call_outcome,
                             {{call_outcome::unknown, "unknown"},
                              {call_outcome::not_run, "not_run"},
                              {call_outcome::done, "done"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(session_opened,
                                   team,
                                   program,
                                   parent,
                                   root,
                                   limits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_started,
                                   call,
                                   tool,
                                   idempotency_key,
                                   body,
                                   repeatable,
                                   reservation,
                                   by)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_retried, call, reservation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_finished,
                                   call,
                                   outcome,
                                   position_free,
                                   body,
                                   failure,
                                   usage,
                                   used,
                                   last_event)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(child_opened, child, reservation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(child_ended, child, used)
inline void to_json(json& out, const session_restored& /*value*/) {
  out = json::object();
}
inline void from_json(const json& /*in*/, session_restored& /*value*/) {}
inline void to_json(json& out, const session_ended& /*value*/) {
  out = json::object();
}
inline void from_json(const json& /*in*/, session_ended& /*value*/) {}

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SESSION_RECORD_H_
