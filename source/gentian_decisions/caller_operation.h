#ifndef GENTIAN_DECISIONS_CALLER_OPERATION_H_
#define GENTIAN_DECISIONS_CALLER_OPERATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** Asks for the addresses of daemons that take callers. */
struct list_addresses {};

/** Opens a session, or a child session that draws on its parent's budget. */
struct open_session {
  program_id program;
  std::optional<budget_limits> budget;
  std::optional<session_id> parent;
};

/** A model call: the next turn of a session. */
struct model_call {
  session_id session;
  /** Position that the caller expects; checked if present. */
  std::optional<std::uint64_t> sequence;
  std::string idempotency_key;
  /** Chat-completions request, without any credential. */
  json body;
  bool stream = false;
};

/** A tool call: the next step of a session. */
struct tool_call {
  session_id session;
  std::string tool;
  std::optional<std::uint64_t> sequence;
  std::string idempotency_key;
  /** May only narrow what the settings allow: a caller can not declare a tool
      repeatable that the settings do not. */
  bool repeatable = false;
  json body;
};

/** Attaches to the event stream of a call, after a broken connection. */
struct resume_events {
  session_id session;
  std::uint64_t call = 0;
  /** Events with a higher id are sent. */
  std::uint64_t after_event = 0;
};

/** Reads the committed calls of a session. */
struct read_history {
  session_id session;
};

/** Ends a session and returns the rest of its budget to its parent. */
struct end_session {
  session_id session;
};

/** A call of a plain service under a configured route, outside sessions. */
struct plain_call {
  std::string method;
  std::string path;
  json body;
};

/** What a caller asks for. */
using caller_operation = std::variant<list_addresses,
                                      open_session,
                                      model_call,
                                      tool_call,
                                      resume_events,
                                      read_history,
                                      end_session,
                                      plain_call>;

/** One event of a streamed answer; `id` grows by one within a call. */
struct answer_event {
  std::uint64_t id = 0;
  json data;
};

/** The end of an answer: the whole body, also for streamed calls. */
struct final_answer {
  std::uint64_t event_id = 0;
  /** Position of the call in its session; 0 outside sessions. */
  std::uint64_t call = 0;
  json body;
};

/** Part of an answer to a caller. */
using answer_part = std::variant<answer_event, final_answer, error>;

/** Writes an operation as `{"type": …, …}` for links between daemons. */
json EncodeOperation(const caller_operation& operation);

/** Reads what EncodeOperation wrote. */
result<caller_operation> DecodeOperation(const json& encoded);

/** Writes an answer part as `{"type": …, …}`. */
json EncodeAnswer(const answer_part& part);

/** Reads what EncodeAnswer wrote. */
result<answer_part> DecodeAnswer(const json& encoded);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALLER_OPERATION_H_
