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

/** A model call, a tool call or a plain call in one form. */
struct call_request {
  /** Empty for plain calls. */
  session_id session;
  team_id team;
  /** Tool name; empty for model and plain calls. */
  std::string tool;
  std::optional<std::uint64_t> sequence;
  std::string idempotency_key;
  /** Hash of the key that the first request came with. */
  std::string key_hash;
  json body;
  bool stream = false;
  bool repeatable = false;
  pool_id pool;
  std::string method = "POST";
  std::string path;
  milliseconds deadline{30'000};
};

/** Stages of a call that has not ended. */
enum class call_phase {
  /** Behind another call of its session. */
  waiting,
  /** Asked for a rate token. */
  admitting,
  /** call_started is being copied. */
  starting,
  /** Waits for a slot at a target. */
  queued,
  /** At a target. */
  dispatched,
  /** Failed, will be tried again at retry_at. */
  backoff,
  /** call_retried is being copied. */
  retrying,
  /** call_finished is being copied. */
  finishing,
};

/** Text of a streamed answer over all attempts, so that another engine can
    continue it.
*/
struct partial_answer {
  std::string text;
  std::uint64_t chunks = 0;
  /** False once a chunk had something other than text. */
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
  /** Number of the call_started record. Unlike `call` it is never used again,
      so that it serves as idempotency key at targets. */
  std::uint64_t start_record = 0;
  budget_amount reservation;
  /** Most tokens that the current attempt may generate. */
  std::uint64_t max_tokens = 0;
  steady_time deadline;
  steady_time retry_at;
  /** True once a byte of any attempt may have reached a target. */
  bool may_have_run = false;
  /** True if an earlier run of the same call was interrupted, so that a refusal
      must not report "not run". */
  bool was_interrupted = false;
  /** Set if the call must end without a dispatch. */
  std::optional<error> abort_reason;

  dispatch_id dispatch = 0;
  target_settings target;
  std::string stream;
  std::uint64_t next_offset = 0;
  steady_time last_byte;
  /** Resumptions since the last chunk. */
  int resumes = 0;
  /** True once the target took the current attempt. */
  bool accepted = false;
  partial_answer partial;

  /** True if the call belongs to a session. */
  bool InSession() const { return !request.session.empty(); }
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALL_RUN_H_
