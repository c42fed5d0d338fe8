#ifndef GENTIAN_DECISIONS_CALL_RUN_H_
#define GENTIAN_DECISIONS_CALL_RUN_H_

#include <optional>
#include <string>
#include <vector>

#include "gentian_decisions/answer_route.h"
#include "gentian_decisions/budget_amount.h"
#include "gentian_decisions/work_item.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** Common form of model calls, tool calls and plain calls. */
struct call_request {
  /** Empty for plain calls. */
  session_id session;
  team_id team;
  /** Tool name; empty for model and plain calls. */
  std::string tool;
  /** Position in the session that the caller expects; checked if present. */
  std::optional<std::uint64_t> sequence;
  std::string idempotency_key;
  /** Hash of the API key of the first request for this call. */
  std::string key_hash;
  json body;
  bool stream = false;
  bool repeatable = false;
  pool_id pool;
  std::string method = "POST";
  std::string path;
  milliseconds deadline{30'000};
};

/** Phase of a call that has not ended. */
enum class call_phase {
  /** Waits for an earlier call of its session to end. */
  waiting,
  /** Waits for a rate token. */
  admitting,
  /** The call_started record is being replicated. */
  starting,
  /** Waits for a slot at a target. */
  queued,
  /** Sent to a target. */
  dispatched,
  /** An attempt failed; the call is retried at retry_at. */
  backoff,
  /** The call_retried record is being replicated. */
  retrying,
  /** The call_finished record is being replicated. */
  finishing,
};

/** Text of a streamed answer accumulated over all attempts, so that another
    engine can continue it.
*/
struct partial_answer {
  std::string text;
  std::uint64_t chunks = 0;
  /** False once a chunk had content other than text, such as a tool call,
      which another engine cannot continue. */
  bool continuable = true;
};

/** A call that has not ended. */
struct call_run {
  ticket_id ticket = 0;
  call_request request;
  std::vector<answer_route> routes;
  call_phase phase = call_phase::waiting;
  /** Position in the session, once started. */
  std::uint64_t call = 0;
  /** Number of the call_started record, part of the idempotency key sent to
      targets. Unlike `call`, it is never reused. */
  std::uint64_t start_record = 0;
  budget_amount reservation;
  /** Maximum number of tokens that the current attempt may generate. */
  std::uint64_t max_tokens = 0;
  steady_time deadline;
  steady_time retry_at;
  /** True once a byte of any attempt may have reached a target. */
  bool may_have_run = false;
  /** True if an earlier run of the same call was interrupted. That run may
      have reached a target, so a refusal must not report "not run". */
  bool was_interrupted = false;
  /** Set while call_started is being replicated if the call must then end
      without being dispatched. */
  std::optional<error> abort_reason;

  dispatch_id dispatch = 0;
  target_settings target;
  /** Stream id that the target assigned; empty if it cannot resume. */
  std::string stream;
  /** Offset of the next expected chunk in the stream. */
  std::uint64_t next_offset = 0;
  steady_time last_byte;
  /** Number of times the stream was resumed since the last chunk. */
  int resumes = 0;
  /** True once the target accepted the current attempt. */
  bool accepted = false;
  partial_answer partial;

  /** True if the call belongs to a session. */
  bool InSession() const { return !request.session.empty(); }
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALL_RUN_H_
