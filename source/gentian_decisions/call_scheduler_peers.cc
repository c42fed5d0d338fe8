// Peer messages, load and running reports, scheduler selection and periodic
// work of call_scheduler.
#include <type_traits>
#include <utility>

#include "gentian_decisions/call_scheduler.h"

namespace gentian {

namespace {

// The low bits of a fencing token come from the host name, so that two daemons
// that reach the same term independently have different tokens.
constexpr unsigned kTokenHostBits = 16;

std::uint64_t FencingToken(std::uint64_t term, const host_id& host) {
  const std::uint64_t mask = (1U << kTokenHostBits) - 1;
  return (term << kTokenHostBits) | (StableHash(host.text()) & mask);
}

template <typename Message, typename... Kinds>
constexpr bool kIsOneOf = (std::is_same_v<Message, Kinds> || ...);

template <typename Message>
constexpr bool kIsScheduling = kIsOneOf<Message,
                                        share_offer,
                                        share_delegation,
                                        share_release,
                                        grant_request,
                                        grant_answer,
                                        pool_submission,
                                        pool_accepted,
                                        pool_assignment,
                                        pool_departure,
                                        pool_running,
                                        pool_session_ended>;

}  // namespace

template <typename Message>
void call_scheduler::Handle(const incarnation& from,
                            const Message& message,
                            node_context& context) {
  if constexpr (std::is_same_v<Message, grant_request> ||
                std::is_same_v<Message, grant_answer>) {
    limiter_.Receive(from, message, context);
  } else {
    limiter_.ReceiveShare(from, message, context);
  }
}

bool call_scheduler::Receive(const incarnation& from,
                             const peer_message& message,
                             node_context& context) {
  bool handled = true;
  std::visit(
      [&](const auto& value) {
        using type = std::decay_t<decltype(value)>;
        if constexpr (kIsScheduling<type>) {
          Handle(from, value, context);
        } else {
          handled = false;
        }
      },
      message);
  if (handled) {
    ProcessDecisions(context);
  }
  return handled;
}

void call_scheduler::Handle(const incarnation& from,
                            const pool_submission& message,
                            node_context& context) {
  pool_state& pool = Pool(message.item.pool);
  pool.term = std::max(pool.term, message.term);
  const call_key key{from, message.item.ticket};
  const auto target = pool.local_scheduler.Submit(key, message.item,
                                                  message.waited, context.now);
  bool importing = false;
  for (const auto& [id, waiting] : imports_) {
    importing = importing || waiting.key == key;
  }
  if (target && !importing) {
    // The message with the assignment was lost.
    context.Emit(send_to_peer{
        from.host,
        pool_assignment{message.item.pool, key.ticket, *target, pool.term}});
    return;
  }
  context.Emit(send_to_peer{
      from.host, pool_accepted{message.item.pool, key.ticket, pool.term}});
  pools_to_assign_.insert(message.item.pool);
}

void call_scheduler::RecordAnswer(const pool_id& id,
                                  std::uint64_t term,
                                  const incarnation& from) {
  pool_state& pool = Pool(id);
  pool.term = std::max(pool.term, term);
  memory_.orders().SetFencingToken(id, FencingToken(term, from.host));
  if (pool.scheduler == from) {
    pool.is_unresponsive = false;
  }
}

void call_scheduler::Handle(const incarnation& from,
                            const pool_accepted& message,
                            node_context& /*context*/) {
  RecordAnswer(message.pool, message.term, from);
  call_state* call = FindSubmission(message.ticket);
  if (call != nullptr && call->scheduler == from) {
    call->is_answered = true;
  }
}

void call_scheduler::Handle(const incarnation& from,
                            const pool_assignment& message,
                            node_context& context) {
  RecordAnswer(message.pool, message.term, from);
  call_state* call = FindSubmission(message.ticket);
  const bool wanted = call != nullptr && call->current_stage == stage::queued;
  const bool repeated =
      call != nullptr && call->current_stage == stage::running &&
      call->scheduler == from && call->target == message.target;
  if (repeated) {
    return;
  }
  if (!wanted) {
    context.Emit(send_to_peer{from.host,
                              pool_departure{message.pool,
                                             message.ticket,
                                             pool_departure::reason::withdrawn,
                                             {}}});
    return;
  }
  // The call may also wait in this daemon's queue or in that of another
  // scheduling daemon.
  pool_state& pool = Pool(message.pool);
  pool.local_scheduler.Depart(call_key{view_.self(), call->submission},
                              pool_departure::reason::withdrawn, {},
                              context.now);
  if (call->scheduler && call->scheduler != from) {
    context.Emit(send_to_peer{call->scheduler->host,
                              pool_departure{message.pool,
                                             message.ticket,
                                             pool_departure::reason::withdrawn,
                                             {}}});
  }
  call->scheduler = from;
  call->is_answered = true;
  memory_.RecordCallStart(call->item.session, message.target, context.now);
  StartCall(*call, message.target, context);
}

void call_scheduler::Handle(const incarnation& from,
                            const pool_departure& message,
                            node_context& context) {
  pool_state& pool = Pool(message.pool);
  const auto holder = pool.local_scheduler.Depart(
      call_key{from, message.ticket}, message.why, message.usage, context.now);
  if (holder) {
    RecordDeparture(*holder, message.why, message.usage, context);
  }
  pools_to_assign_.insert(message.pool);
}

void call_scheduler::Handle(const incarnation& from,
                            const pool_running& message,
                            node_context& context) {
  pool_state& pool = Pool(message.pool);
  pool.term = std::max(pool.term, message.term);
  pool.local_scheduler.ReportRunning(from, message.calls, context.now);
  context.Emit(
      send_to_peer{from.host, pool_accepted{message.pool, 0, pool.term}});
  pools_to_assign_.insert(message.pool);
}

void call_scheduler::Handle(const incarnation& /*from*/,
                            const pool_session_ended& message,
                            node_context& context) {
  memory_.EndSession(message.session, context);
}

void call_scheduler::Receive(const target_load& load, node_context& context) {
  const auto target = view_.settings().targets.find(load.target);
  if (target == view_.settings().targets.end()) {
    return;
  }
  Pool(target->second.pool).local_scheduler.ReportLoad(load, context.now);
  pools_to_assign_.insert(target->second.pool);
  ProcessDecisions(context);
}

void call_scheduler::Receive(const target_cache_event& change,
                             node_context& context) {
  memory_.Receive(change, context);
}

void call_scheduler::Receive(const target_order_answered& answer,
                             node_context& context) {
  if (memory_.Receive(answer, context)) {
    FinishImport(answer.id, context);
    ProcessDecisions(context);
  }
}

void call_scheduler::Receive(const host_list_received& list,
                             node_context& /*context*/) {
  memory_.Receive(list);
}

void call_scheduler::ReportRunning(const pool_id& id,
                                   pool_state& pool,
                                   node_context& context) {
  std::vector<running_call> running;
  for (const auto& [ticket, call] : calls_) {
    if (call.current_stage == stage::running && call.item.pool == id) {
      running.push_back(running_call{call.item, call.target});
      running.back().item.ticket = call.submission;
    }
  }
  pool.last_report = context.now;
  // Refreshes the running calls that this daemon scheduled itself, so that they
  // do not become stale.
  pool.local_scheduler.ReportRunning(view_.self(), running, context.now);
  if (!SchedulesLocally(pool)) {
    context.Emit(send_to_peer{pool.scheduler->host,
                              pool_running{id, pool.term, std::move(running)}});
  }
}

void call_scheduler::SelectSchedulers(node_context& context) {
  last_selection_ = context.now;
  std::vector<host_id> hosts;
  std::map<host_id, incarnation> ids;
  for (const member& each : view_.LiveMembers()) {
    hosts.push_back(each.id.host);
    ids[each.id.host] = each.id;
  }
  if (hosts.empty()) {
    return;
  }
  for (auto& [id, pool] : pools_) {
    const auto order = RendezvousOrder("pool-" + id.text(), hosts);
    const incarnation& next = ids[order.front()];
    if (pool.scheduler != next) {
      ChangeScheduler(id, pool, next, context);
    }
  }
}

void call_scheduler::ChangeScheduler(const pool_id& id,
                                     pool_state& pool,
                                     const incarnation& next,
                                     node_context& context) {
  const bool takes_over = pool.scheduler && next == view_.self();
  pool.scheduler = next;
  pool.is_unresponsive = false;
  if (next == view_.self()) {
    ++pool.term;
    memory_.orders().SetFencingToken(id, FencingToken(pool.term, next.host));
  }
  if (takes_over) {
    context.counters.Add("pool.taken_over");
    pool.assign_after = context.now + kTakeoverDelay;
  }
  // Running calls are reported first, so that the new scheduling daemon counts
  // them before it assigns slots to queued calls.
  ReportRunning(id, pool, context);
  for (auto& [ticket, call] : calls_) {
    if (call.current_stage == stage::queued && call.item.pool == id) {
      SubmitCall(call, SchedulesLocally(pool), context);
    }
  }
}

void call_scheduler::RepeatSubmissions(node_context& context) {
  for (auto& [ticket, call] : calls_) {
    if (call.current_stage != stage::queued) {
      continue;
    }
    pool_state& pool = Pool(call.item.pool);
    const bool remote = call.scheduler.has_value();
    if (remote && !call.is_answered &&
        context.now - call.first_submitted >= kAnswerTimeout) {
      context.counters.Add("pool.no_answer");
      pool.is_unresponsive = true;
      call.is_answered = true;
      // The submission to the scheduling daemon stays valid; the first
      // assignment wins.
      SubmitLocally(call, pool, context);
    }
    if (context.now - call.last_submitted >= kReportInterval) {
      const bool to_self = SchedulesLocally(pool) || pool.is_unresponsive;
      SubmitCall(call, to_self, context);
    }
  }
}

void call_scheduler::Tick(node_context& context) {
  limiter_.Tick(context);
  SelectSchedulers(context);
  std::set<pool_id> schedules;
  for (auto& [id, pool] : pools_) {
    const milliseconds interval =
        pool.is_unresponsive ? kAnswerTimeout : kReportInterval;
    if (context.now - pool.last_report >= interval) {
      ReportRunning(id, pool, context);
      pool.local_scheduler.DropStale(context.now);
    }
    if (SchedulesLocally(pool)) {
      schedules.insert(id);
    }
    pools_to_assign_.insert(id);
  }
  RepeatSubmissions(context);
  std::vector<order_id> late;
  for (const auto& [id, waiting] : imports_) {
    if (context.now - waiting.started >= kImportTimeout) {
      late.push_back(id);
    }
  }
  for (const order_id id : late) {
    FinishImport(id, context);
  }
  memory_.Tick(schedules, context);
  ProcessDecisions(context);
}

}  // namespace gentian
