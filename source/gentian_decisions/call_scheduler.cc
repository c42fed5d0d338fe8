#include "gentian_decisions/call_scheduler.h"

#include <algorithm>
#include <utility>

namespace gentian {

call_scheduler::call_scheduler(const cluster_view& view)
    : view_(view), limiter_(view), memory_(view) {}

call_scheduler::pool_state& call_scheduler::Pool(const pool_id& id) {
  const auto found = pools_.find(id);
  if (found != pools_.end()) {
    return found->second;
  }
  return pools_
      .emplace(id, pool_state(pool_scheduler(id, view_, memory_, retries_)))
      .first->second;
}

bool call_scheduler::SchedulesLocally(const pool_state& pool) const {
  return !pool.scheduler || *pool.scheduler == view_.self();
}

std::uint32_t call_scheduler::SlotDivisor(const pool_state& pool) const {
  if (SchedulesLocally(pool)) {
    return 1;
  }
  return static_cast<std::uint32_t>(
      std::max<std::size_t>(view_.settings().daemons.size(), 1));
}

std::size_t call_scheduler::PoolSize(const pool_id& id) const {
  const auto& targets = view_.settings().targets;
  return static_cast<std::size_t>(
      std::count_if(targets.begin(), targets.end(),
                    [&](const auto& each) { return each.second.pool == id; }));
}

call_scheduler::call_state* call_scheduler::FindSubmission(
    ticket_id submission) {
  const auto found = submissions_.find(submission);
  return found == submissions_.end() ? nullptr : &calls_.at(found->second);
}

void call_scheduler::Erase(ticket_id ticket) {
  const auto found = calls_.find(ticket);
  if (found != calls_.end()) {
    submissions_.erase(found->second.submission);
    calls_.erase(found);
  }
}

void call_scheduler::Admit(const work_item& item, node_context& context) {
  call_state& call = calls_[item.ticket];
  call.item = item;
  limiter_.Acquire(item.ticket, item.team, context);
  ProcessDecisions(context);
}

void call_scheduler::Enqueue(ticket_id ticket, node_context& context) {
  const auto found = calls_.find(ticket);
  if (found == calls_.end()) {
    return;
  }
  call_state& call = found->second;
  pool_state& pool = Pool(call.item.pool);
  if (!pool.scheduler) {
    SelectSchedulers(context);
  }
  submissions_.erase(call.submission);
  call.submission = ++last_submission_;
  submissions_[call.submission] = ticket;
  call.current_stage = stage::queued;
  call.queued_since = context.now;
  SubmitCall(call, SchedulesLocally(pool) || pool.is_unresponsive, context);
  ProcessDecisions(context);
}

void call_scheduler::SubmitLocally(const call_state& call,
                                   pool_state& pool,
                                   node_context& context) {
  work_item item = call.item;
  item.ticket = call.submission;
  pool.local_scheduler.Submit(call_key{view_.self(), call.submission}, item,
                              ToMilliseconds(context.now - call.queued_since),
                              context.now);
  pools_to_assign_.insert(call.item.pool);
}

void call_scheduler::SubmitCall(call_state& call,
                                bool to_self,
                                node_context& context) {
  pool_state& pool = Pool(call.item.pool);
  call.last_submitted = context.now;
  if (to_self) {
    call.scheduler.reset();
    SubmitLocally(call, pool, context);
    return;
  }
  if (call.scheduler != pool.scheduler) {
    call.scheduler = pool.scheduler;
    call.first_submitted = context.now;
    call.is_answered = false;
  }
  work_item item = call.item;
  item.ticket = call.submission;
  const milliseconds waited = ToMilliseconds(context.now - call.queued_since);
  context.Emit(
      send_to_peer{call.scheduler->host,
                   pool_submission{std::move(item), waited, pool.term}});
}

void call_scheduler::Withdraw(ticket_id ticket, node_context& context) {
  const auto found = calls_.find(ticket);
  if (found == calls_.end()) {
    return;
  }
  call_state& call = found->second;
  if (call.current_stage == stage::limited) {
    limiter_.Cancel(ticket, call.item.team);
  } else {
    if (call.attempts == 0) {
      limiter_.Return(call.item.team, context);
    }
    Depart(call, pool_departure::reason::withdrawn, {}, context);
  }
  Erase(ticket);
  ProcessDecisions(context);
}

void call_scheduler::Finish(ticket_id ticket,
                            const call_usage& usage,
                            node_context& context) {
  const auto found = calls_.find(ticket);
  if (found == calls_.end()) {
    return;
  }
  Depart(found->second, pool_departure::reason::finished, usage, context);
  Erase(ticket);
  ProcessDecisions(context);
}

std::optional<milliseconds> call_scheduler::Fail(ticket_id ticket,
                                                 target_failure failure,
                                                 bool repeatable,
                                                 node_context& context) {
  const auto found = calls_.find(ticket);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  call_state& call = found->second;
  // An error answer shows that the target works. It is mostly caused by the
  // request, and one team must not be able to eject targets for the others.
  const bool answered = failure == target_failure::answered_error;
  Depart(call,
         answered ? pool_departure::reason::withdrawn
                  : pool_departure::reason::failed,
         {}, context);
  const auto delay = retries_.Decide(call.item.team, call.target, failure,
                                     call.attempts, repeatable, context);
  call.current_stage = stage::failed;
  if (!delay) {
    Erase(ticket);
  }
  ProcessDecisions(context);
  return delay;
}

void call_scheduler::SessionEnded(const session_id& session,
                                  node_context& context) {
  memory_.EndSession(session, context);
  // The scheduling daemons may know of holdings that this daemon does not.
  std::set<host_id> schedulers;
  for (const auto& [id, pool] : pools_) {
    if (!SchedulesLocally(pool)) {
      schedulers.insert(pool.scheduler->host);
    }
  }
  for (const host_id& host : schedulers) {
    context.Emit(send_to_peer{host, pool_session_ended{session}});
  }
}

void call_scheduler::Depart(call_state& call,
                            pool_departure::reason why,
                            const call_usage& usage,
                            node_context& context) {
  if (call.submission == 0 || call.current_stage == stage::failed) {
    return;
  }
  const bool was_running = call.current_stage == stage::running;
  if (call.scheduler) {
    context.Emit(send_to_peer{
        call.scheduler->host,
        pool_departure{call.item.pool, call.submission, why, usage}});
  }
  pool_state& pool = Pool(call.item.pool);
  const auto holder = pool.local_scheduler.Depart(
      call_key{view_.self(), call.submission}, why, usage, context.now);
  if (was_running) {
    slot_holder record;
    record.item = call.item;
    record.target = call.target;
    RecordDeparture(holder.value_or(record), why, usage, context);
  }
  pools_to_assign_.insert(call.item.pool);
  submissions_.erase(call.submission);
  call.submission = 0;
}

void call_scheduler::RecordDeparture(const slot_holder& holder,
                                     pool_departure::reason why,
                                     const call_usage& usage,
                                     node_context& context) {
  const std::uint64_t held = why == pool_departure::reason::finished
                                 ? usage.prompt_tokens + usage.generated_tokens
                                 : 0;
  const auto target = view_.settings().targets.find(holder.target);
  const bool caches = target != view_.settings().targets.end() &&
                      target->second.cache_tokens > 0;
  memory_.RecordCallEnd(holder.item.session, holder.target, caches ? held : 0,
                        context.now);
  if (why != pool_departure::reason::withdrawn) {
    retries_.RecordOutcome(
        holder.target, holder.item.pool, PoolSize(holder.item.pool),
        why == pool_departure::reason::finished, context.now);
  }
}

void call_scheduler::ProcessDecisions(node_context& context) {
  // A listener may call back into this object. The outer invocation then
  // processes the new decisions as well.
  if (processing_) {
    return;
  }
  processing_ = true;
  ProcessUntilIdle(context);
  processing_ = false;
}

void call_scheduler::ProcessUntilIdle(node_context& context) {
  for (;;) {
    const std::vector<limit_decision> limits = limiter_.TakeDecisions();
    if (limits.empty() && pools_to_assign_.empty()) {
      return;
    }
    for (const limit_decision& decision : limits) {
      const auto found = calls_.find(decision.ticket);
      if (found == calls_.end()) {
        continue;
      }
      if (decision.refusal) {
        context.counters.Add(std::string("refused.") +
                             NameOf(decision.refusal->kind));
        Erase(decision.ticket);
        listener_->CallRefused(decision.ticket, *decision.refusal, context);
        continue;
      }
      found->second.current_stage = stage::admitted;
      listener_->CallAdmitted(decision.ticket, context);
    }
    const std::set<pool_id> pools = std::exchange(pools_to_assign_, {});
    for (const pool_id& id : pools) {
      AssignSlots(Pool(id), context);
    }
  }
}

void call_scheduler::AssignSlots(pool_state& pool, node_context& context) {
  if (context.now < pool.assign_after) {
    return;
  }
  for (const slot_decision& decision :
       pool.local_scheduler.Assign(SlotDivisor(pool), context.now)) {
    ApplyDecision(decision, context);
  }
}

void call_scheduler::ApplyDecision(const slot_decision& decision,
                                   node_context& context) {
  memory_.RecordCallStart(decision.item.session, decision.target, context.now);
  if (!decision.import_from) {
    DeliverAssignment(decision.key, decision.item.pool, decision.target,
                      context);
    return;
  }
  const order_id id = memory_.Import(
      decision.item.session, *decision.import_from, decision.target, context);
  imports_[id] = pending_import{decision.key, decision.item.pool,
                                decision.target, context.now};
}

void call_scheduler::DeliverAssignment(const call_key& key,
                                       const pool_id& pool,
                                       const target_id& target,
                                       node_context& context) {
  if (key.owner != view_.self()) {
    context.Emit(send_to_peer{
        key.owner.host,
        pool_assignment{pool, key.ticket, target, Pool(pool).term}});
    return;
  }
  call_state* call = FindSubmission(key.ticket);
  if (call == nullptr || call->current_stage != stage::queued) {
    return;
  }
  StartCall(*call, target, context);
}

void call_scheduler::StartCall(call_state& call,
                               const target_id& target,
                               node_context& context) {
  const auto found = view_.settings().targets.find(target);
  const bool usable = found != view_.settings().targets.end() &&
                      !found->second.leaving && !memory_.IsLeaving(target);
  const ticket_id ticket = call.item.ticket;
  if (!usable) {
    // The scheduling daemon does not know yet that the target is leaving or
    // was removed.
    Depart(call, pool_departure::reason::withdrawn, {}, context);
    Enqueue(ticket, context);
    return;
  }
  call.current_stage = stage::running;
  call.target = target;
  ++call.attempts;
  if (call.attempts == 1) {
    retries_.RecordFirstAttempt(call.item.team, target, context.now);
  }
  listener_->CallAssigned(ticket, found->second, context);
}

void call_scheduler::FinishImport(order_id id, node_context& context) {
  const auto found = imports_.find(id);
  if (found == imports_.end()) {
    return;
  }
  const pending_import done = found->second;
  imports_.erase(found);
  DeliverAssignment(done.key, done.pool, done.target, context);
}

json call_scheduler::Status() const {
  json pools = json::object();
  for (const auto& [id, pool] : pools_) {
    pools[id.text()] =
        json{{"queued", pool.local_scheduler.queued()},
             {"running", pool.local_scheduler.running()},
             {"scheduler", pool.scheduler ? pool.scheduler->ToString() : ""},
             {"silent", pool.is_unresponsive}};
  }
  return json{{"pools", pools},
              {"calls", calls_.size()},
              {"waiting_for_rate", limiter_.waiting()}};
}

}  // namespace gentian
