#include "gentian_decisions/target_dispatch.h"

#include <algorithm>
#include <utility>

#include "gentian_decisions/call_pipeline.h"
#include "gentian_decisions/session_errors.h"

namespace gentian {

namespace {

constexpr milliseconds kStreamSilenceTimeout{2'000};
// Consecutive resumptions without a new chunk before the call fails.
constexpr int kMaxResumes = 3;
constexpr const char* kChatPath = "/v1/chat/completions";

const json::json_pointer& DeltaPointer() {
  static const json::json_pointer pointer("/choices/0/delta");
  return pointer;
}

const json::json_pointer& ContentPointer() {
  static const json::json_pointer pointer("/choices/0/message/content");
  return pointer;
}

void AddToPartial(const json& data, partial_answer& partial) {
  ++partial.chunks;
  if (!data.is_object() || !data.contains(DeltaPointer())) {
    partial.continuable = false;
    return;
  }
  for (const auto& [name, value] : data.at(DeltaPointer()).items()) {
    if (name == "content" && value.is_string()) {
      partial.text += value.get<std::string>();
    } else if (name != "role" && !value.is_null()) {
      partial.continuable = false;
    }
  }
}

bool IsKnownNotRun(const call_run& run, target_failure failure) {
  if (run.accepted || run.resumes > 0) {
    return false;
  }
  return failure == target_failure::not_sent ||
         (failure == target_failure::rejected_not_run &&
          run.target.reports_not_run);
}

error ErrorOfFailure(const call_run& run,
                     target_failure failure,
                     const std::string& message) {
  error reason{error_kind::target_failed, message, "retry later"};
  if (failure == target_failure::answered_error) {
    reason.remedy = "see the message of the service";
    reason.outcome = call_outcome::done;
    return reason;
  }
  if (!run.may_have_run) {
    return reason;
  }
  if (!run.request.repeatable) {
    return session_errors::OutcomeUnknown(message);
  }
  if (failure == target_failure::deadline) {
    return session_errors::DeadlinePassed(call_outcome::unknown);
  }
  reason.outcome = call_outcome::unknown;
  return reason;
}

}  // namespace

call_run* target_dispatch::Find(dispatch_id id) {
  const auto found = tickets_.find(id);
  return found == tickets_.end() ? nullptr : pipeline_.FindRun(found->second);
}

void target_dispatch::Dispatch(call_run& run,
                               const session* owner,
                               const target_settings& target,
                               node_context& context) {
  run.target = target;
  run.stream.clear();
  run.next_offset = 0;
  run.resumes = 0;
  run.accepted = false;
  dispatch_call message;
  message.method = run.request.method;
  message.path = run.request.path;
  message.body = BuildBody(run, owner);
  Send(run, std::move(message), context);
}

json target_dispatch::BuildBody(const call_run& run,
                                const session* owner) const {
  json body = run.request.body;
  if (owner == nullptr || !run.request.tool.empty()) {
    return body;
  }
  json messages = owner->PromptHistory();
  for (const json& message : body.at("messages")) {
    messages.push_back(message);
  }
  if (!run.partial.text.empty()) {
    // Another engine continues after the text that the caller already received.
    messages.push_back({{"role", "assistant"}, {"content", run.partial.text}});
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
  }
  body["messages"] = std::move(messages);
  body["max_tokens"] = run.max_tokens;
  body.erase("max_completion_tokens");
  body["stream"] = run.request.stream;
  const auto& pools = pipeline_.cluster_.settings().pools;
  const auto pool = pools.find(run.request.pool);
  if (pool != pools.end()) {
    body["model"] = pool->second.model;
  }
  return body;
}

void target_dispatch::Send(call_run& run,
                           dispatch_call message,
                           node_context& context) {
  run.dispatch = ++last_dispatch_;
  run.last_byte = context.now;
  tickets_[run.dispatch] = run.ticket;
  message.id = run.dispatch;
  message.target = run.target.id;
  message.address = run.target.address;
  message.stream = run.request.stream;
  message.session = run.request.session;
  message.deadline = ToMilliseconds(run.deadline - context.now);
  if (run.InSession()) {
    const shard_id shard = ShardOf(run.request.session);
    message.fencing_token = fencing_source_ ? fencing_source_(shard) : 0;
    message.idempotency_key =
        run.request.session.text() + "/" + std::to_string(run.start_record);
  }
  if (message.path.empty()) {
    message.path = kChatPath;
  }
  context.Emit(std::move(message));
}

void target_dispatch::ResumeStream(call_run& run, node_context& context) {
  tickets_.erase(run.dispatch);
  ++run.resumes;
  context.counters.Add("resumed.stream");
  dispatch_call message;
  message.method = run.request.method;
  message.path = run.request.path;
  message.resume_stream = run.stream;
  message.resume_offset = run.next_offset;
  Send(run, std::move(message), context);
}

void target_dispatch::AbandonAfterDeadline(call_run& run,
                                           node_context& context) {
  if (run.InSession() && !run.request.repeatable) {
    late_calls_[run.dispatch] = late_call{run.request.session, run.call};
    tickets_.erase(run.dispatch);
    return;
  }
  Cancel(run, context);
}

void target_dispatch::Cancel(call_run& run, node_context& context) {
  tickets_.erase(run.dispatch);
  context.Emit(cancel_dispatch{run.dispatch});
}

void target_dispatch::CheckStreamSilence(call_run& run, node_context& context) {
  if (!run.request.stream ||
      context.now < run.last_byte + kStreamSilenceTimeout) {
    return;
  }
  if (!run.stream.empty() && run.resumes < kMaxResumes) {
    ResumeStream(run, context);
    return;
  }
  if (run.accepted && run.stream.empty()) {
    // The engine cannot resume streams. It may still be computing the first
    // token, so only the deadline ends the call.
    return;
  }
  Cancel(run, context);
  Fail(run, target_failure::silent, "the stream of the engine sends no data",
       context);
}

void target_dispatch::Handle(const target_accepted& input,
                             node_context& context) {
  call_run* run = Find(input.id);
  if (run == nullptr) {
    return;
  }
  run->accepted = true;
  run->may_have_run = true;
  run->last_byte = context.now;
  if (!input.stream.empty()) {
    run->stream = input.stream;
  }
}

void target_dispatch::Handle(const target_chunk& input, node_context& context) {
  call_run* run = Find(input.id);
  if (run == nullptr) {
    return;
  }
  run->accepted = true;
  run->may_have_run = true;
  run->last_byte = context.now;
  if (input.offset < run->next_offset) {
    return;
  }
  if (input.offset == run->next_offset) {
    run->resumes = 0;
    ++run->next_offset;
    AppendChunk(*run, input.data, context);
    return;
  }
  // Chunks are missing: the stream is resumed at the first missing one.
  if (!run->stream.empty() && run->resumes < kMaxResumes) {
    ResumeStream(*run, context);
    return;
  }
  Cancel(*run, context);
  Fail(*run, target_failure::broken, "chunks of the stream are missing",
       context);
}

void target_dispatch::AppendChunk(call_run& run,
                                  const json& data,
                                  node_context& context) {
  AddToPartial(data, run.partial);
  if (!run.InSession()) {
    return;
  }
  const answer_event event =
      pipeline_.events_.Add(run.request.session, run.call, data);
  for (const answer_route& route : run.routes) {
    if (route.stream) {
      pipeline_.answers_.Reply(route, event, context);
    }
  }
}

void target_dispatch::Handle(const target_finished& input,
                             node_context& context) {
  const auto late = late_calls_.find(input.id);
  if (late != late_calls_.end()) {
    const late_call call = late->second;
    late_calls_.erase(late);
    RecordLateAnswer(call, input, context);
    return;
  }
  call_run* run = Find(input.id);
  if (run == nullptr) {
    return;
  }
  tickets_.erase(input.id);
  call_finished result = BuildResult(*run, input);
  const ticket_id ticket = run->ticket;
  pipeline_.scheduling_.Finish(ticket, result.usage, context);
  // Freeing the slot can change other calls, but `run` stays valid.
  pipeline_.Finish(*run, std::move(result), context);
}

call_finished target_dispatch::BuildResult(const call_run& run,
                                           const target_finished& input) const {
  call_finished result;
  result.outcome = call_outcome::done;
  result.body = input.body;
  result.usage.prompt_tokens = input.prompt_tokens;
  result.usage.cached_tokens = input.cached_tokens;
  result.usage.generated_tokens = input.generated_tokens;
  result.used.calls = 1;
  if (run.InSession() && run.request.tool.empty()) {
    result.used.tokens = input.prompt_tokens + input.generated_tokens;
    result.used.cost_micros = pipeline_.CostOf(result.used.tokens);
  }
  const bool continued = run.partial.chunks > run.next_offset;
  if (continued && result.body.contains(ContentPointer())) {
    result.body[ContentPointer()] = run.partial.text;
  }
  return result;
}

void target_dispatch::RecordLateAnswer(const late_call& late,
                                       const target_finished& input,
                                       node_context& context) {
  session* owner = pipeline_.sessions_.Find(late.session);
  if (owner == nullptr || owner->ended()) {
    return;
  }
  call_finished result;
  result.call = late.call;
  result.outcome = call_outcome::done;
  result.body = input.body;
  result.used.calls = 1;
  context.counters.Add("late_answers");
  pipeline_.sessions_.Append(
      *owner, std::move(result), [](node_context& /*later*/) {}, context);
}

void target_dispatch::Handle(const target_failed& input,
                             node_context& context) {
  late_calls_.erase(input.id);
  call_run* run = Find(input.id);
  if (run == nullptr) {
    return;
  }
  const bool connection_lost = input.failure == target_failure::silent ||
                               input.failure == target_failure::broken;
  if (connection_lost && !run->stream.empty() && run->resumes < kMaxResumes) {
    ResumeStream(*run, context);
    return;
  }
  tickets_.erase(input.id);
  Fail(*run, input.failure, input.message, context);
}

void target_dispatch::Fail(call_run& run,
                           target_failure failure,
                           const std::string& message,
                           node_context& context) {
  const bool known_not_run = IsKnownNotRun(run, failure);
  const bool claims_not_run = failure == target_failure::not_sent ||
                              failure == target_failure::rejected_not_run;
  if (claims_not_run && !known_not_run) {
    failure = target_failure::broken;
  }
  run.may_have_run = run.may_have_run || !known_not_run;
  const bool repeatable = run.request.repeatable && run.partial.continuable;
  run.phase = call_phase::backoff;
  const ticket_id ticket = run.ticket;
  const auto delay =
      pipeline_.scheduling_.Fail(ticket, failure, repeatable, context);
  if (delay && (repeatable || known_not_run)) {
    run.retry_at = context.now + *delay;
    context.counters.Add(known_not_run ? "retried.not_run"
                                       : "retried.repeatable");
    return;
  }
  if (delay) {
    pipeline_.scheduling_.Withdraw(ticket, context);
  }
  pipeline_.FinishFailed(run, ErrorOfFailure(run, failure, message), context);
}

}  // namespace gentian
