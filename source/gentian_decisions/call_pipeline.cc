#include "gentian_decisions/call_pipeline.h"

#include <algorithm>
#include <utility>

#include "gentian_decisions/session_errors.h"
#include "gentian_decisions/target_dispatch.h"

namespace gentian {

namespace {

/** Maximum number of generated tokens if the caller sets no limit. */
constexpr std::uint64_t kDefaultMaxTokens = 4'096;
/** Includes the active call. */
constexpr std::size_t kMaxOpenCallsPerSession = 64;

std::uint64_t IntegerField(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end() || !found->is_number_integer()) {
    return 0;
  }
  return found->get<std::uint64_t>();
}

// Counts each byte as one token, an upper bound for any byte-level tokenizer.
std::uint64_t MaxInputTokens(const session& owner, const call_run& run) {
  return owner.HistoryTokens() + run.request.body.dump().size() +
         run.partial.text.size();
}

std::uint64_t ChoiceCount(const json& body) {
  return std::max<std::uint64_t>(1, IntegerField(body, "n"));
}

bool IsSameRequest(const call_request& a, const call_started& b) {
  return a.tool == b.tool && a.body == b.body;
}

}  // namespace

call_pipeline::call_pipeline(const cluster_view& cluster,
                             call_scheduling& scheduling,
                             session_table& sessions,
                             answer_sink& answers)
    : cluster_(cluster),
      scheduling_(scheduling),
      sessions_(sessions),
      answers_(answers),
      targets_(std::make_unique<target_dispatch>(*this)) {
  scheduling_.SetListener(this);
}

call_pipeline::~call_pipeline() = default;

void call_pipeline::SetFencingSource(
    std::function<std::uint64_t(const shard_id&)> source) {
  targets_->SetFencingSource(std::move(source));
}

call_run* call_pipeline::FindRun(ticket_id ticket) {
  const auto found = runs_.find(ticket);
  return found == runs_.end() ? nullptr : &found->second;
}

void call_pipeline::Submit(call_request request,
                           const answer_route& route,
                           node_context& context) {
  const bool in_session = !request.session.empty();
  if (in_session) {
    if (JoinOpenCall(request, route, context)) {
      return;
    }
    session* owner = sessions_.Find(request.session);
    if (AnswerDuplicate(*owner, request, route, context)) {
      return;
    }
    if (session_queues_[request.session].size() >= kMaxOpenCallsPerSession) {
      context.counters.Add("refused.overloaded");
      const auto outcome = owner->WasInterrupted(request.idempotency_key)
                               ? call_outcome::unknown
                               : call_outcome::not_run;
      answers_.Reply(
          route,
          error{error_kind::overloaded,
                "too many calls of the session are waiting",
                "wait for the answers before sending more calls", outcome},
          context);
      return;
    }
  }
  const ticket_id ticket = ++last_ticket_;
  call_run& run = runs_[ticket];
  run.ticket = ticket;
  run.request = std::move(request);
  run.routes.push_back(route);
  run.deadline = context.now + run.request.deadline;
  if (!in_session) {
    BeginAdmission(ticket, context);
    return;
  }
  run.was_interrupted = sessions_.Find(run.request.session)
                            ->WasInterrupted(run.request.idempotency_key);
  auto& lane = session_queues_[run.request.session];
  lane.push_back(ticket);
  if (lane.size() == 1) {
    BeginAdmission(ticket, context);
  }
}

bool call_pipeline::JoinOpenCall(const call_request& request,
                                 const answer_route& route,
                                 node_context& context) {
  const auto lane = session_queues_.find(request.session);
  if (lane == session_queues_.end()) {
    return false;
  }
  for (const ticket_id ticket : lane->second) {
    call_run& run = runs_.at(ticket);
    if (run.request.idempotency_key != request.idempotency_key) {
      continue;
    }
    if (run.request.tool != request.tool || run.request.body != request.body) {
      context.counters.Add("refused.idempotency_mismatch");
      answers_.Reply(route, session_errors::IdempotencyMismatch(), context);
      return true;
    }
    run.routes.push_back(route);
    if (route.stream && run.call > 0) {
      for (answer_event& event : events_.After(request.session, run.call, 0)) {
        answers_.Reply(route, std::move(event), context);
      }
    }
    return true;
  }
  return false;
}

bool call_pipeline::AnswerDuplicate(session& owner,
                                    const call_request& request,
                                    const answer_route& route,
                                    node_context& context) {
  const session_call* known = owner.FindByKey(request.idempotency_key);
  if (known == nullptr) {
    return false;
  }
  if (!IsSameRequest(request, known->start)) {
    context.counters.Add("refused.idempotency_mismatch");
    answers_.Reply(route, session_errors::IdempotencyMismatch(), context);
    return true;
  }
  AnswerFromRecord(owner, *known, 0, route, context);
  return true;
}

void call_pipeline::AnswerFromRecord(const session& owner,
                                     const session_call& call,
                                     std::uint64_t after_event,
                                     const answer_route& route,
                                     node_context& context) {
  if (route.stream) {
    for (answer_event& event :
         events_.After(owner.id(), call.start.call, after_event)) {
      answers_.Reply(route, std::move(event), context);
    }
  }
  if (!call.finish) {
    answers_.Reply(route,
                   session_errors::OutcomeUnknown(
                       "the call was started, but its result is not known"),
                   context);
    return;
  }
  if (call.finish->failure) {
    answers_.Reply(route, *call.finish->failure, context);
    return;
  }
  final_answer end;
  end.event_id = call.finish->last_event;
  end.call = call.start.call;
  end.body = call.finish->body;
  answers_.Reply(route, std::move(end), context);
}

void call_pipeline::Resume(session& source,
                           std::uint64_t call,
                           std::uint64_t after_event,
                           const answer_route& route,
                           node_context& context) {
  const auto lane = session_queues_.find(source.id());
  if (lane != session_queues_.end()) {
    call_run& run = runs_.at(lane->second.front());
    if (run.call == call && call > 0) {
      for (answer_event& event :
           events_.After(source.id(), call, after_event)) {
        answers_.Reply(route, std::move(event), context);
      }
      run.routes.push_back(route);
      return;
    }
  }
  const session_call* known = source.FindCall(call);
  if (known == nullptr) {
    context.counters.Add("refused.out_of_order");
    answers_.Reply(route, session_errors::OutOfOrder(call, source.next_call()),
                   context);
    return;
  }
  AnswerFromRecord(source, *known, after_event, route, context);
}

void call_pipeline::BeginAdmission(ticket_id ticket, node_context& context) {
  call_run& run = runs_.at(ticket);
  run.phase = call_phase::admitting;
  run.deadline = context.now + run.request.deadline;
  session* owner = sessions_.Find(run.request.session);
  if (owner != nullptr) {
    const auto left = milliseconds(owner->funds().limits().time_ms) -
                      owner->Elapsed(context.now);
    run.deadline = std::min(run.deadline, context.now + left);
    run.max_tokens = MaxTokensOf(*owner, run);
    if (auto reason = CheckStart(*owner, run, context)) {
      run.phase = call_phase::waiting;
      Refuse(ticket, *reason, context);
      return;
    }
  }
  scheduling_.Admit(WorkItemOf(run, owner), context);
}

std::uint64_t call_pipeline::MaxTokensOf(const session& owner,
                                         const call_run& run) const {
  if (!run.request.tool.empty()) {
    return 0;
  }
  const json& body = run.request.body;
  std::uint64_t wanted = std::max(IntegerField(body, "max_tokens"),
                                  IntegerField(body, "max_completion_tokens"));
  if (wanted == 0) {
    const std::uint64_t left = owner.funds().Remaining().tokens;
    const std::uint64_t input = MaxInputTokens(owner, run);
    const std::uint64_t fits = left > input ? left - input : 1;
    wanted = std::min(kDefaultMaxTokens, fits / ChoiceCount(body));
  }
  return wanted > run.partial.chunks ? wanted - run.partial.chunks : 1;
}

budget_amount call_pipeline::ReservationOf(const session& owner,
                                           const call_run& run) const {
  budget_amount amount;
  amount.calls = 1;
  if (run.request.tool.empty()) {
    amount.tokens = MaxInputTokens(owner, run) +
                    run.max_tokens * ChoiceCount(run.request.body);
    amount.cost_micros = CostOf(amount.tokens);
  }
  return amount;
}

std::uint64_t call_pipeline::CostOf(std::uint64_t tokens) const {
  constexpr std::uint64_t kTokensPerPrice = 1'000;
  const std::uint64_t price =
      cluster_.settings().fleet.cost_micros_per_1000_tokens;
  return (tokens * price + kTokensPerPrice - 1) / kTokensPerPrice;
}

std::optional<error> call_pipeline::CheckStart(const session& owner,
                                               const call_run& run,
                                               node_context& context) const {
  if (owner.ended()) {
    return session_errors::UnknownSession();
  }
  const auto expected = run.request.sequence;
  if (expected && *expected != owner.next_call()) {
    return session_errors::OutOfOrder(*expected, owner.next_call());
  }
  const auto missing = owner.funds().ExceededLimit(ReservationOf(owner, run),
                                                   owner.Elapsed(context.now));
  if (missing) {
    return session_errors::BudgetSpent(*missing);
  }
  return std::nullopt;
}

work_item call_pipeline::WorkItemOf(const call_run& run,
                                    const session* owner) const {
  work_item item;
  item.ticket = run.ticket;
  item.team = run.request.team;
  item.pool = run.request.pool;
  item.repeatable = run.request.repeatable;
  item.max_tokens = run.max_tokens;
  if (owner != nullptr) {
    item.session = owner->id();
    item.root_session = owner->opened().root;
    item.program = owner->opened().program;
    item.prompt_tokens =
        run.request.tool.empty() ? MaxInputTokens(*owner, run) : 0;
    const auto& programs = cluster_.settings().programs;
    const auto program = programs.find(item.program);
    item.priority = program == programs.end() ? 0 : program->second.priority;
  }
  return item;
}

void call_pipeline::CallAdmitted(ticket_id ticket, node_context& context) {
  call_run* run = FindRun(ticket);
  if (run == nullptr || run->phase != call_phase::admitting) {
    scheduling_.Withdraw(ticket, context);
    return;
  }
  if (!run->InSession()) {
    run->phase = call_phase::queued;
    scheduling_.Enqueue(ticket, context);
    return;
  }
  session* owner = sessions_.Find(run->request.session);
  // A child session may have reserved budget while the call waited.
  if (auto reason = CheckStart(*owner, *run, context)) {
    Refuse(ticket, *reason, context);
    return;
  }
  run->phase = call_phase::starting;
  run->call = owner->next_call();
  run->start_record = owner->records().size() + 1;
  run->reservation = ReservationOf(*owner, *run);
  call_started start;
  start.call = run->call;
  start.tool = run->request.tool;
  start.idempotency_key = run->request.idempotency_key;
  start.body = run->request.body;
  start.repeatable = run->request.repeatable;
  start.reservation = run->reservation;
  start.by = cluster_.self();
  sessions_.Append(
      *owner, std::move(start),
      [this, ticket](node_context& later) {
        HandleStartCommitted(ticket, later);
      },
      context);
}

void call_pipeline::HandleStartCommitted(ticket_id ticket,
                                         node_context& context) {
  call_run* run = FindRun(ticket);
  if (run == nullptr || run->phase != call_phase::starting) {
    return;
  }
  run->phase = call_phase::queued;
  if (run->abort_reason) {
    Abort(*run, *run->abort_reason, context);
    return;
  }
  scheduling_.Enqueue(ticket, context);
}

void call_pipeline::CallAssigned(ticket_id ticket,
                                 const target_settings& target,
                                 node_context& context) {
  call_run* run = FindRun(ticket);
  if (run == nullptr || run->phase != call_phase::queued) {
    scheduling_.Withdraw(ticket, context);
    return;
  }
  run->phase = call_phase::dispatched;
  targets_->Dispatch(*run, sessions_.Find(run->request.session), target,
                     context);
}

void call_pipeline::CallRefused(ticket_id ticket,
                                const error& reason,
                                node_context& context) {
  call_run* run = FindRun(ticket);
  if (run == nullptr) {
    return;
  }
  error answer = reason;
  answer.outcome =
      run->may_have_run ? call_outcome::unknown : call_outcome::not_run;
  if (run->phase == call_phase::admitting) {
    // The scheduler has dropped the ticket; Refuse must not withdraw it.
    run->phase = call_phase::waiting;
    Refuse(ticket, answer, context);
    return;
  }
  if (run->phase == call_phase::queued) {
    FinishFailed(*run, answer, context);
  }
}

}  // namespace gentian
