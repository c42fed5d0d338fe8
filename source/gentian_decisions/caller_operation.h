#ifndef GENTIAN_DECISIONS_CALLER_OPERATION_H_
#define GENTIAN_DECISIONS_CALLER_OPERATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** Lists the addresses of daemons that accept callers. */
struct list_addresses {
  static constexpr const char* kType = "list_addresses";
};

/** Opens a session, or a child session that draws on its parent's budget. */
struct open_session {
  static constexpr const char* kType = "open_session";

  program_id program;
  budget_request budget;
  std::optional<session_id> parent;
};

/** A model call: the next turn of a session. */
struct model_call {
  static constexpr const char* kType = "model_call";

  session_id session;
  /** Position in the session that the caller expects; checked if present. */
  std::optional<std::uint64_t> sequence;
  std::string idempotency_key;
  /** Chat-completions request, without any credential. */
  json body;
  bool stream = false;
};

/** A tool call: the next step of a session. */
struct tool_call {
  static constexpr const char* kType = "tool_call";

  session_id session;
  std::string tool;
  /** Position in the session that the caller expects; checked if present. */
  std::optional<std::uint64_t> sequence;
  std::string idempotency_key;
  /** True if the caller allows a repeat. A call is repeatable only if the
      caller and the tool's settings both allow it. */
  bool repeatable = false;
  json body;
};

/** Resumes the event stream of a call after a connection was lost. */
struct resume_events {
  static constexpr const char* kType = "resume_events";

  session_id session;
  std::uint64_t call = 0;
  /** Events with a higher id are sent. */
  std::uint64_t after_event = 0;
};

/** Reads the committed calls of a session. */
struct read_history {
  static constexpr const char* kType = "read_history";

  session_id session;
};

/** Ends a session and returns the rest of its budget to its parent. */
struct end_session {
  static constexpr const char* kType = "end_session";

  session_id session;
};

/** A call of a plain service under a configured route, outside sessions. */
struct plain_call {
  static constexpr const char* kType = "plain_call";

  std::string method;
  std::string path;
  json body;
};

/** Operation that a caller requests. */
using caller_operation = std::variant<list_addresses,
                                      open_session,
                                      model_call,
                                      tool_call,
                                      resume_events,
                                      read_history,
                                      end_session,
                                      plain_call>;

/** True if the request may repeat an earlier one, that is, if it is a call with
    an idempotency key or a position. Only the session's owner knows whether
    such a call has run, so a daemon that refuses it without asking the owner
    must not report "not run".
*/
bool MayRepeatEarlierCall(const caller_operation& operation);

/** Outcome to report if a daemon refuses a request without asking the owner. */
call_outcome OutcomeWithoutOwner(const caller_operation& operation);

inline void to_json(json& out, const list_addresses& /*value*/) {
  out = json::object();
}
inline void from_json(const json& /*in*/, list_addresses& /*value*/) {}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(open_session, program, budget, parent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(model_call,
                                   session,
                                   sequence,
                                   idempotency_key,
                                   body,
                                   stream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(tool_call,
                                   session,
                                   tool,
                                   sequence,
                                   idempotency_key,
                                   repeatable,
                                   body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(resume_events, session, call, after_event)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(read_history, session)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(end_session, session)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(plain_call, method, path, body)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALLER_OPERATION_H_
