// Implements retries, aborts, deadlines and the completion of calls.
#include <algorithm>
#include <utility>

#include "gentian_decisions/call_pipeline.h"
#include "gentian_decisions/session_errors.h"
#include "gentian_decisions/target_dispatch.h"

namespace gentian {

namespace {

bool IsBeforeStart(call_phase phase) {
  return phase == call_phase::waiting || phase == call_phase::admitting;
}

}  // namespace

void call_pipeline::AnswerAll(call_run& run,
                              answer_part part,
                              node_context& context) {
  auto* failure = std::get_if<error>(&part);
  if (failure != nullptr && run.was_interrupted &&
      failure->outcome == call_outcome::not_run) {
    failure->outcome = call_outcome::unknown;
  }
  // Reply may re-enter this function, so the routes are moved out first.
  const std::vector<answer_route> routes = std::move(run.routes);
  run.routes.clear();
  for (const answer_route& route : routes) {
    answers_.Reply(route, part, context);
  }
}

void call_pipeline::Remove(ticket_id ticket, node_context& context) {
  const session_id owner = runs_.at(ticket).request.session;
  runs_.erase(ticket);
  const auto lane = session_queues_.find(owner);
  if (lane == session_queues_.end()) {
    return;
  }
  auto& tickets = lane->second;
  const bool was_first = tickets.front() == ticket;
  tickets.erase(std::remove(tickets.begin(), tickets.end(), ticket),
                tickets.end());
  if (tickets.empty()) {
    session_queues_.erase(lane);
    return;
  }
  if (was_first) {
    BeginAdmission(tickets.front(), context);
  }
}

void call_pipeline::Refuse(ticket_id ticket,
                           error reason,
                           node_context& context) {
  call_run& run = runs_.at(ticket);
  if (run.phase == call_phase::admitting) {
    scheduling_.Withdraw(ticket, context);
  }
  context.counters.Add(std::string("refused.") + NameOf(reason.kind));
  AnswerAll(run, std::move(reason), context);
  Remove(ticket, context);
}

void call_pipeline::Finish(call_run& run,
                           call_finished result,
                           node_context& context) {
  const ticket_id ticket = run.ticket;
  run.phase = call_phase::finishing;
  result.call = run.call;
  if (!run.InSession()) {
    Complete(ticket, result, context);
    return;
  }
  result.last_event = events_.NextId(run.request.session, run.call);
  session* owner = sessions_.Find(run.request.session);
  sessions_.Append(
      *owner, result,
      [this, ticket, result](node_context& later) {
        Complete(ticket, result, later);
      },
      context);
}

void call_pipeline::FinishFailed(call_run& run,
                                 error reason,
                                 node_context& context) {
  call_finished result;
  result.outcome = reason.outcome;
  result.position_free = reason.outcome == call_outcome::not_run;
  if (reason.outcome == call_outcome::done) {
    // An error answer has no usage, so the whole reservation is charged.
    result.used = run.reservation;
  }
  context.counters.Add(std::string("failed.") + NameOf(reason.kind));
  result.failure = std::move(reason);
  Finish(run, std::move(result), context);
}

void call_pipeline::Complete(ticket_id ticket,
                             const call_finished& result,
                             node_context& context) {
  call_run* run = FindRun(ticket);
  if (run == nullptr) {
    return;
  }
  if (result.failure) {
    AnswerAll(*run, *result.failure, context);
  } else {
    final_answer end;
    end.event_id = result.last_event;
    end.call = result.call;
    end.body = result.body;
    AnswerAll(*run, std::move(end), context);
  }
  if (result.outcome == call_outcome::not_run && run->InSession()) {
    // The next call reuses this position and must not inherit its events.
    events_.EraseCall(run->request.session, result.call);
  }
  Remove(ticket, context);
}

void call_pipeline::Retry(call_run& run, node_context& context) {
  session* owner = sessions_.Find(run.request.session);
  if (owner != nullptr && run.may_have_run) {
    AppendRetry(run, *owner, context);
    return;
  }
  run.phase = call_phase::queued;
  scheduling_.Enqueue(run.ticket, context);
}

void call_pipeline::AppendRetry(call_run& run,
                                session& owner,
                                node_context& context) {
  run.max_tokens = MaxTokensOf(owner, run);
  call_retried again;
  again.call = run.call;
  again.reservation = ReservationOf(owner, run);
  const auto missing = owner.funds().ExceededLimit(again.reservation,
                                                   owner.Elapsed(context.now));
  if (missing) {
    error reason = session_errors::BudgetSpent(*missing);
    reason.outcome = call_outcome::unknown;
    scheduling_.Withdraw(run.ticket, context);
    FinishFailed(run, std::move(reason), context);
    return;
  }
  run.reservation = again.reservation;
  run.phase = call_phase::retrying;
  const ticket_id ticket = run.ticket;
  sessions_.Append(
      owner, again,
      [this, ticket](node_context& later) {
        call_run* committed = FindRun(ticket);
        if (committed != nullptr && committed->phase == call_phase::retrying) {
          committed->phase = call_phase::queued;
          scheduling_.Enqueue(ticket, later);
        }
      },
      context);
}

void call_pipeline::Abort(call_run& run,
                          const error& reason,
                          node_context& context) {
  error answer = reason;
  answer.outcome =
      run.may_have_run ? call_outcome::unknown : call_outcome::not_run;
  switch (run.phase) {
    case call_phase::waiting:
    case call_phase::admitting:
      Refuse(run.ticket, std::move(answer), context);
      return;
    case call_phase::starting:
      // The outcome is certain only once call_started is committed;
      // HandleStartCommitted aborts the call then.
      run.abort_reason = std::move(answer);
      return;
    case call_phase::queued:
    case call_phase::backoff:
    case call_phase::retrying:
      scheduling_.Withdraw(run.ticket, context);
      FinishFailed(run, std::move(answer), context);
      return;
    case call_phase::dispatched:
    case call_phase::finishing:
      return;
  }
}

std::vector<ticket_id> call_pipeline::Tickets() const {
  std::vector<ticket_id> tickets;
  tickets.reserve(runs_.size());
  for (const auto& [ticket, run] : runs_) {
    tickets.push_back(ticket);
  }
  return tickets;
}

void call_pipeline::AbortSession(const session_id& session,
                                 node_context& context) {
  const auto lane = session_queues_.find(session);
  if (lane == session_queues_.end()) {
    return;
  }
  const std::deque<ticket_id> tickets = lane->second;
  // Last to first, because removing the first call starts the next one.
  for (auto at = tickets.rbegin(); at != tickets.rend(); ++at) {
    call_run& run = runs_.at(*at);
    if (run.phase == call_phase::dispatched) {
      targets_->Cancel(run, context);
      scheduling_.Withdraw(run.ticket, context);
      FinishFailed(run,
                   session_errors::OutcomeUnknown(
                       "the session was ended while the call was running"),
                   context);
    } else {
      Abort(run, session_errors::UnknownSession(), context);
    }
  }
}

void call_pipeline::AbandonShard(const shard_id& shard,
                                 const std::string& owner_address,
                                 node_context& context) {
  std::map<ticket_id, call_phase> lost;
  for (auto& [ticket, run] : runs_) {
    if (ShardOf(run.request.session) == shard) {
      // In this phase the call does not accept a slot that another call frees.
      lost[ticket] = std::exchange(run.phase, call_phase::finishing);
    }
  }
  for (const auto& [ticket, phase] : lost) {
    call_run& run = runs_.at(ticket);
    // Once call_started was sent to a replica, the new owner may find it
    // there, and the call counts as started.
    const call_outcome outcome =
        IsBeforeStart(phase) ? call_outcome::not_run : call_outcome::unknown;
    if (phase != call_phase::waiting && phase != call_phase::finishing) {
      scheduling_.Withdraw(ticket, context);
    }
    if (phase == call_phase::dispatched) {
      targets_->Cancel(run, context);
    }
    AnswerAll(run, session_errors::Moved(owner_address, outcome), context);
    session_queues_.erase(run.request.session);
    events_.Erase(run.request.session);
    runs_.erase(ticket);
  }
}

void call_pipeline::CallerGone(const answer_route& route) {
  for (auto& [ticket, run] : runs_) {
    auto& routes = run.routes;
    routes.erase(std::remove_if(routes.begin(), routes.end(),
                                [&](const answer_route& candidate) {
                                  return candidate.IsSameRequest(route);
                                }),
                 routes.end());
  }
}

void call_pipeline::KeyWithdrawn(const std::string& key_hash,
                                 node_context& context) {
  for (const ticket_id ticket : Tickets()) {
    if (call_run* run = FindRun(ticket)) {
      DropCallersWithKey(*run, key_hash, context);
    }
  }
}

void call_pipeline::DropCallersWithKey(call_run& run,
                                       const std::string& key_hash,
                                       node_context& context) {
  const auto outcome =
      IsBeforeStart(run.phase) ? call_outcome::not_run : call_outcome::unknown;
  std::vector<answer_route> kept;
  for (const answer_route& route : run.routes) {
    if (route.key_hash != key_hash) {
      kept.push_back(route);
      continue;
    }
    answers_.Reply(route, session_errors::KeyWithdrawn(outcome), context);
  }
  run.routes = std::move(kept);
  if (run.routes.empty() && run.request.key_hash == key_hash) {
    Abort(run, session_errors::KeyWithdrawn(call_outcome::not_run), context);
  }
}

void call_pipeline::Tick(node_context& context) {
  for (const ticket_id ticket : Tickets()) {
    CheckTimers(ticket, context);
  }
}

void call_pipeline::CheckTimers(ticket_id ticket, node_context& context) {
  call_run* run = FindRun(ticket);
  if (run == nullptr) {
    return;
  }
  if (context.now >= run->deadline) {
    EndAtDeadline(*run, context);
    return;
  }
  if (run->phase == call_phase::backoff && context.now >= run->retry_at) {
    Retry(*run, context);
    return;
  }
  if (run->phase == call_phase::dispatched) {
    targets_->CheckStreamSilence(*run, context);
  }
}

void call_pipeline::EndAtDeadline(call_run& run, node_context& context) {
  switch (run.phase) {
    case call_phase::waiting:
    case call_phase::admitting:
    case call_phase::queued:
    case call_phase::backoff:
    case call_phase::retrying:
      Abort(run,
            session_errors::DeadlinePassed(run.may_have_run
                                               ? call_outcome::unknown
                                               : call_outcome::not_run),
            context);
      return;
    case call_phase::starting:
      run.abort_reason = session_errors::DeadlinePassed(call_outcome::not_run);
      AnswerAll(run,
                session_errors::OutcomeUnknown(
                    "the start of the call could not be recorded in time"),
                context);
      return;
    case call_phase::dispatched:
      targets_->AbandonAfterDeadline(run, context);
      scheduling_.Fail(run.ticket, target_failure::deadline, false, context);
      FinishFailed(run,
                   run.request.repeatable
                       ? session_errors::DeadlinePassed(call_outcome::unknown)
                       : session_errors::OutcomeUnknown(
                             "the deadline passed after the call was sent"),
                   context);
      return;
    case call_phase::finishing:
      AnswerAll(run,
                session_errors::OutcomeUnknown(
                    "the end of the call could not be recorded in time"),
                context);
      return;
  }
}

bool call_pipeline::HasCallsIn(const shard_id& shard) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    return ShardOf(entry.second.request.session) == shard;
  });
}

bool call_pipeline::HasCallsOf(const session_id& session) const {
  return session_queues_.count(session) > 0;
}

}  // namespace gentian
