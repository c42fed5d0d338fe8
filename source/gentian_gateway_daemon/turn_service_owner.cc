// Implements turn_service: decides turns of the programs that this daemon owns.

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "gentian_gateway_daemon/turn_service.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

using outcome = turn_verdict::outcome;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// The owner answers within this time, with `undecided` if it has no verdict, so
// that other daemons soon detect a frozen or partitioned owner.
constexpr milliseconds kMaxReplyDelay{250};
// A program that has used more than this share of its budget may never end and
// counts as excessive.
constexpr double kExcessiveBudgetShare = 0.6;

}  // namespace

turn_ticket turn_service::AddOwned(const turn_request& request) {
  const steady_time now = BootTimeNow();
  const milliseconds retention = ProgramRetention(state_);
  if (now - idle_evicted_at_ > retention) {
    ledger_.EvictIdle(now - retention);
    idle_evicted_at_ = now;
  }
  const turn_ticket ticket = ++last_ticket_;
  owned_turn& own = owned_[ticket];
  own.request = request;
  own.requested_at = now;
  own.deadline = now + request.time_left;
  own.finish_by = now + request.finish_within;
  own.wait_deadline = now + request.wait_limit;
  if (!std::exchange(is_advancing_, true)) {
    advancing_.StartAfter(kAdvanceInterval);
  }
  const bool is_owner = IsOwner(request.program);
  const bool is_stable = IsMembershipStable(state_, now);
  Execute(ledger_.Reserve(
      {request.program, request.budget, request.max_output_tokens, ticket,
       is_owner && is_stable && unclaimed_starts_.MayStart(request.program),
       is_owner, !is_owner || !is_stable,
       is_owner ? recorder_.ChooseStore(request.program) : std::string()},
      now));
  return ticket;
}

bool turn_service::IsOwner(const std::string& program) const {
  const member_record* owner =
      OwnerOf(program, state_.membership.members(),
              [](const member_record&) { return true; });
  return owner != nullptr && owner->host == settings_.host;
}

void turn_service::ReplyWhenDecided(
    turn_ticket ticket,
    std::function<void(const turn_verdict&)> reply) {
  owned_turn& own = owned_.at(ticket);
  if (own.verdict) {
    // The reply may drop the turn.
    const turn_verdict verdict = *own.verdict;
    own.is_delivered = true;
    reply(verdict);
  } else {
    own.reply = std::move(reply);
  }
}

void turn_service::LogVerdict(const owned_turn& own,
                              const turn_verdict& verdict) const {
  const turn_request& request = own.request;
  const steady_time now = BootTimeNow();
  const auto fields = [&] {
    return json{{"request", request.request_id},
                {"program", request.program},
                {"service", request.service},
                {"outcome", NameOf(verdict.result)},
                {"target", verdict.target},
                {"waited_ms", ToMilliseconds(now - own.requested_at).count()},
                {"wait_limit_ms", request.wait_limit.count()},
                {"finish_in_ms", ToMilliseconds(own.finish_by - now).count()},
                {"budget", request.budget},
                {"used", ledger_.UsedTokens(request.program)},
                {"most", request.max_output_tokens},
                {"turns_waiting", scheduler_.waiting()},
                {"turns_running", scheduler_.running()},
                {"service_limit",
                 std::lround(scheduler_.ConcurrencyLimit(request.service))},
                {"members", state_.membership.members().size()},
                {"store_reached", state_.store_reached}};
  };
  if (verdict.result == outcome::granted) {
    LogRoutine(request.program, "turn decided", fields);
  } else {
    Log(log_level::info, "turn decided", fields());
  }
}

void turn_service::SetVerdict(owned_turn& own, const turn_verdict& verdict) {
  LogVerdict(own, verdict);
  own.verdict = verdict;
  if (own.reply) {
    own.is_delivered = true;
    // The reply may drop the turn.
    const auto reply = std::exchange(own.reply, nullptr);
    reply(verdict);
  }
}

void turn_service::Decide(turn_ticket ticket, outcome result) {
  const auto found = owned_.find(ticket);
  if (found == owned_.end()) {
    return;
  }
  owned_turn& own = found->second;
  if (std::exchange(own.budget_granted, false)) {
    Execute(ledger_.Settle(own.request.program, own.request.max_output_tokens,
                           0, BootTimeNow()));
    ScheduleRelease();
  }
  SetVerdict(found->second, turn_verdict{result, ticket, ""});
}

// A turn within its budget waits for a place at a target.
void turn_service::GrantBudget(turn_ticket ticket, bool is_claimed) {
  const auto found = owned_.find(ticket);
  if (found == owned_.end()) {
    return;
  }
  owned_turn& own = found->second;
  own.budget_granted = true;
  own.is_claimed = is_claimed;
  const std::int64_t used = ledger_.UsedTokens(own.request.program);
  const bool excessive =
      static_cast<double>(used) >
      kExcessiveBudgetShare * static_cast<double>(own.request.budget);
  waiting_turn waiting{ticket,
                       own.request.program,
                       own.request.service,
                       own.request.priority,
                       own.finish_by,
                       own.deadline,
                       own.wait_deadline,
                       excessive,
                       own.request.failure_domain};
  if (own.request.homes) {
    waiting.homes = *own.request.homes;
    waiting.may_run =
        [policy = placement_policy(settings_.regions, *own.request.homes)](
            const target_record& target) { return policy.MayRun(target); };
  }
  scheduler_.Add(waiting);
  Advance();
}

void turn_service::Advance() {
  scheduler_.SetDaemonCount(state_.membership.members().size());
  for (const turn_decision& decision : scheduler_.Advance(BootTimeNow())) {
    const auto found = owned_.find(decision.ticket);
    if (found == owned_.end()) {
      scheduler_.Remove(decision.ticket);
      continue;
    }
    if (!decision.admitted) {
      Decide(decision.ticket, outcome::overloaded);
      continue;
    }
    owned_turn& own = found->second;
    SetVerdict(own, turn_verdict{outcome::granted, decision.ticket,
                                 decision.target, own.is_claimed});
  }
}

// Drops turns whose requester has not fetched the verdict in time, or has not
// reported the end.
void turn_service::DropOverdue() {
  const steady_time now = BootTimeNow();
  for (auto next = owned_.begin(); next != owned_.end();) {
    const turn_ticket ticket = next->first;
    const bool overdue = now > next->second.deadline + kPeerTimeout;
    ++next;
    if (overdue) {
      DropOwned(ticket);
    }
  }
}

bool turn_service::EndOwned(const turn_end& end) {
  const bool is_known = owned_.count(end.ticket) > 0;
  if (is_known) {
    Execute(ledger_.Settle(end.program, end.reserved, end.used, BootTimeNow()));
    ScheduleRelease();
  }
  if (end.load) {
    state_.targets.ReportLoad(end.target,
                              {end.load->running, end.load->waiting,
                               BootTimeNow() - end.load_age, end.load->pace});
  }
  if (end.event_interval) {
    scheduler_.AddSample(end.service, {end.target, *end.event_interval});
  }
  scheduler_.Remove(end.ticket);
  owned_.erase(end.ticket);
  Advance();
  return is_known;
}

void turn_service::DropOwned(turn_ticket ticket) {
  const auto found = owned_.find(ticket);
  if (found == owned_.end()) {
    return;
  }
  const owned_turn dropped = std::move(found->second);
  owned_.erase(found);
  scheduler_.Remove(ticket);
  ledger_.Cancel(dropped.request.program, ticket);
  if (dropped.budget_granted && !dropped.is_delivered) {
    // It has not run.
    Execute(ledger_.Settle(dropped.request.program,
                           dropped.request.max_output_tokens, 0,
                           BootTimeNow()));
  }
  ScheduleRelease();
}

bool turn_service::AnswerPeer(const std::shared_ptr<http_exchange>& exchange) {
  const std::string path = exchange->request().Path();
  if (path != kAskPath && path != kEndPath) {
    return false;
  }
  try {
    const json body = ParseJsonMessage(exchange->request().body);
    if (path == kEndPath) {
      const turn_end_answer answer{EndOwned(body.get<turn_end>())};
      exchange->Respond(JsonResponse(kOk, json(answer)));
    } else {
      AnswerRequest(exchange, body);
    }
  } catch (const json::exception& failure) {
    exchange->Respond(JsonResponse(kBadRequest, {{"error", failure.what()}}));
  }
  return true;
}

void turn_service::AnswerRequest(const std::shared_ptr<http_exchange>& exchange,
                                 const json& body) {
  turn_ticket ticket = body.value("ticket", turn_ticket{0});
  if (ticket == 0) {
    ticket = AddOwned(body.get<turn_request>());
  } else if (owned_.count(ticket) == 0) {
    exchange->Respond(
        JsonResponse(kOk, turn_verdict{outcome::unavailable, ticket, ""}));
    return;
  }
  ReplyWhenDecided(ticket, [this, exchange](const turn_verdict& verdict) {
    exchange->Respond(JsonResponse(kOk, json(verdict)));
    if (verdict.result != outcome::granted) {
      owned_.erase(verdict.ticket);
    }
  });
  exchange->SetDisconnectHandler([this, ticket] { DropOwned(ticket); });
  pool_.After(kMaxReplyDelay, [this, exchange, ticket] {
    const auto found = owned_.find(ticket);
    if (found != owned_.end() && found->second.reply) {
      found->second.reply = nullptr;
      exchange->Respond(JsonResponse(
          kOk, json(turn_verdict{outcome::undecided, ticket, ""})));
    }
  });
}

}  // namespace gentian
