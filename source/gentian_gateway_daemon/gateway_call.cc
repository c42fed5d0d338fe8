#include "gentian_gateway_daemon/gateway_call.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

constexpr milliseconds kStaleRetryAfter{500};
// A retry may reach another holder. The member list drops a failed holder only
// after a few seconds.
constexpr milliseconds kAllowanceRetryAfter{300};
constexpr milliseconds kBudgetRetryAfter{700};
constexpr milliseconds kOverloadRetryAfter{400};
// Longer than a turn store takes to restart or to be replaced by another copy.
constexpr milliseconds kHistoryRetryAfter{300};
// For a program that sets no finish time.
constexpr milliseconds kDefaultFinishWithin{60'000};
// A queued turn is refused after these shares of the caller's remaining time
// and of the time that it waits for a first event, so that it can still retry.
constexpr double kWaitShareOfTimeLeft = 0.45;
constexpr double kWaitShareOfPatience = 0.5;

}  // namespace

gateway_call::gateway_call(gateway_environment& environment,
                           std::shared_ptr<http_exchange> exchange)
    : environment_(environment), exchange_(std::move(exchange)) {}

void gateway_call::Start() {
  arrived_ = BootTimeNow();
  environment_.open_calls[this] = weak_from_this();
  call_ = environment_.protocol.DecodeCall(exchange_->request());
  if (!call_) {
    Refuse({refusal_reason::malformed, std::nullopt});
    return;
  }
  if (const std::optional<refusal> refused = Authorize()) {
    Refuse(*refused);
    return;
  }
  const http_request& request = exchange_->request();
  fingerprint_ =
      FingerprintOf(request.method, request.target, TeamName(), request.body);
  if (const milliseconds left = environment_.crashes.BlockedFor(fingerprint_);
      left.count() > 0) {
    Refuse({refusal_reason::blocked_request, left});
    return;
  }
  if (ResumesEarlier()) {
    events_.SetLastId(call_->last_event_id);
  }
  deadline_ = arrived_ + std::min(call_->time_left.value_or(route_->timeout),
                                  route_->timeout);
  if (!MayBeSentBeforeStop()) {
    RefuseForStop();
    return;
  }
  exchange_->SetDisconnectHandler(
      [me = shared_from_this()] { me->OnDisconnect(); });
  TakeAllowance();
}

std::optional<refusal> gateway_call::Authorize() {
  const gateway_state& state = environment_.state;
  const refusal stale{refusal_reason::stale_configuration, kStaleRetryAfter};
  configuration_ = state.configuration.current();
  // Gateways that are not behind serve it.
  if (!configuration_ || state.configuration.IsBehind(BootTimeNow())) {
    return stale;
  }
  route_ = configuration_->FindRoute(call_->host, call_->path);
  const bool fresh = state.IsFresh(BootTimeNow());
  if (route_ == nullptr) {
    return fresh ? refusal{refusal_reason::unknown_route, std::nullopt} : stale;
  }
  if (exchange_->request().body.size() >
      configuration_->content().max_body_bytes) {
    return refusal{refusal_reason::too_large, std::nullopt};
  }
  team_ = nullptr;
  if (configuration_->content().requires_keys && !route_->open_to_all) {
    if (!fresh) {
      return stale;
    }
    team_ = configuration_->FindTeamByKey(call_->key);
    if (team_ == nullptr) {
      return refusal{refusal_reason::unknown_key, std::nullopt};
    }
  }
  policy_ = placement_policy(
      environment_.settings.regions, environment_.settings.region,
      {route_->allowed_regions,
       team_ == nullptr ? std::vector<std::string>() : team_->allowed_regions});
  if (route_->services.empty()) {
    return refusal{refusal_reason::no_target, kNoTargetRetryAfter};
  }
  if (!SelectService()) {
    return refusal{refusal_reason::stream_software_gone, std::nullopt};
  }
  const gateway_service* service = configuration_->FindService(service_);
  tokens_per_event_ = service == nullptr ? 0 : service->tokens_per_event;
  return std::nullopt;
}

// A stream stays at the service that began it; false if the route no longer
// leads there.
bool gateway_call::SelectService() {
  if (origin_) {
    service_ = origin_->service;
    return std::any_of(route_->services.begin(), route_->services.end(),
                       [this](const weighted_service& next) {
                         return next.service == service_;
                       });
  }
  double total = 0;
  for (const weighted_service& next : route_->services) {
    total += next.weight;
  }
  constexpr std::uint64_t kBuckets = 10'000;
  double point = total *
                 static_cast<double>(StableHash(call_->request_id) % kBuckets) /
                 static_cast<double>(kBuckets);
  service_ = route_->services.back().service;
  for (const weighted_service& next : route_->services) {
    point -= next.weight;
    if (point < 0) {
      service_ = next.service;
      break;
    }
  }
  return true;
}

void gateway_call::TakeAllowance() {
  if (team_ == nullptr) {
    Admit();
    return;
  }
  // Shares ownership of the configuration, which contains the team.
  std::shared_ptr<const gateway_team> team(configuration_, team_);
  environment_.allowances.Take(
      *team_, call_->request_id, MaxQueueTime(),
      [me = shared_from_this(),
       team = std::move(team)](const allowance_verdict& verdict) {
        me->OnAllowance(team, verdict);
      });
}

void gateway_call::OnAllowance(std::shared_ptr<const gateway_team> team,
                               const allowance_verdict& verdict) {
  using outcome = allowance_verdict::outcome;
  if (verdict.result == outcome::granted) {
    charged_team_ = std::move(team);
    allowance_holder_ = verdict.holder;
  }
  if (phase_ == phase::ended) {
    // The caller disconnected before the verdict.
    ReturnAllowance();
    return;
  }
  switch (verdict.result) {
    case outcome::granted:
      allowance_wait_ = verdict.wait;
      if (verdict.wait.count() == 0) {
        Admit();
        return;
      }
      environment_.pool.After(verdict.wait, [me = shared_from_this()] {
        if (me->phase_ != phase::ended) {
          me->Admit();
        }
      });
      return;
    case outcome::refused:
      Refuse({refusal_reason::over_allowance, verdict.wait});
      return;
    case outcome::unavailable:
      Refuse({refusal_reason::allowance_unavailable, kAllowanceRetryAfter});
      return;
  }
}

std::string gateway_call::TeamName() const {
  return team_ == nullptr ? std::string() : team_->name;
}

std::string gateway_call::ConversationName(const std::string& name) const {
  return policy_.has_homes() ? ConversationWithHomes(name, policy_.homes())
                             : name;
}

bool gateway_call::NeedsHistory() const {
  return route_->keeps_turns && !call_->previous_turn.empty();
}

bool gateway_call::HasRightHistory() const {
  return NeedsHistory() ? continued_ && continued_->team == TeamName()
                        : !continued_;
}

void gateway_call::Admit() {
  if (ResumesEarlier() && !origin_) {
    FindOrigin();
    return;
  }
  if (!HasTarget()) {
    // Before tokens are claimed for it.
    Refuse(NoTargetRefusal());
    return;
  }
  if (NeedsHistory() && !continued_) {
    LoadHistory();
    return;
  }
  if (call_->token_budget && !call_->program.empty()) {
    RequestTurn();
  } else {
    Dispatch();
  }
}

void gateway_call::LoadHistory() {
  environment_.histories.Load(
      call_->request_id, {TeamName(), call_->previous_turn},
      ConversationName(call_->program), policy_, exchange_->request().body,
      [me = shared_from_this()](loaded_history history) {
        me->OnHistory(std::move(history));
      });
}

void gateway_call::OnHistory(loaded_history history) {
  if (phase_ == phase::ended) {
    return;
  }
  switch (history.result) {
    case loaded_history::outcome::found:
      continued_ = {TeamName(), std::move(history.conversation),
                    std::move(history.prompt)};
      Admit();
      return;
    case loaded_history::outcome::absent:
      Refuse({refusal_reason::unknown_turn, std::nullopt});
      return;
    case loaded_history::outcome::uncertain:
      Refuse({refusal_reason::history_unavailable, kHistoryRetryAfter});
      return;
  }
}

void gateway_call::RequestTurn() {
  std::int64_t most = std::max<std::int64_t>(call_->max_output_tokens, 1);
  if (tokens_per_event_ > 0) {
    // A last event with fewer tokens counts as a full one.
    most =
        (most + tokens_per_event_ - 1) / tokens_per_event_ * tokens_per_event_;
  }
  turn_request request;
  request.failure_domain = environment_.settings.failure_domain;
  request.request_id = call_->request_id;
  request.program = call_->program;
  request.service = service_;
  request.priority =
      team_ != nullptr && team_->priority ? *team_->priority : route_->priority;
  request.budget = *call_->token_budget;
  request.max_output_tokens = most;
  request.finish_within = call_->finish_within.value_or(kDefaultFinishWithin);
  request.time_left = TimeLeft(BootTimeNow());
  request.wait_limit = MaxQueueTime();
  if (policy_.has_homes()) {
    request.homes = policy_.homes();
  }
  // The handler may run inside Request; the number is then no longer valid.
  const std::uint64_t number = environment_.turns.Request(
      request, [me = shared_from_this(), most](const turn_verdict& verdict,
                                               const std::string& owner) {
        me->turn_request_.reset();
        if (verdict.result == turn_verdict::outcome::granted) {
          me->turn_.emplace();
          me->turn_->ticket = verdict.ticket;
          me->turn_->reserved = most;
          me->turn_->is_claimed = verdict.is_claimed;
        }
        me->OnTurnVerdict(verdict, owner);
      });
  if (phase_ == phase::waiting) {
    turn_request_ = number;
  }
}

void gateway_call::OnTurnVerdict(const turn_verdict& verdict,
                                 const std::string& owner) {
  using outcome = turn_verdict::outcome;
  turn_owner_ = owner;
  switch (verdict.result) {
    case outcome::granted:
      turn_->program = call_->program;
      turn_->service = service_;
      preferred_target_ = verdict.target;
      Dispatch();
      return;
    case outcome::budget_spent:
      Refuse({refusal_reason::budget_spent, std::nullopt});
      return;
    case outcome::overloaded:
      Refuse({refusal_reason::overloaded, kOverloadRetryAfter});
      return;
    case outcome::unavailable:
    case outcome::undecided:
      Refuse({refusal_reason::budget_unavailable, kBudgetRetryAfter});
      return;
  }
}

void gateway_call::EndTurn() {
  if (turn_request_) {
    environment_.turns.Abandon(*turn_request_);
    turn_request_.reset();
  }
  if (!turn_) {
    return;
  }
  turn_->used =
      tokens_per_event_ > 0
          ? static_cast<std::int64_t>(events_sent_) * tokens_per_event_
          : (runs_ > 0 ? turn_->reserved : 0);
  turn_->target = target_;
  turn_->load = answer_.load;
  if (turn_->load && turn_->load->pace) {
    turn_->load_age = ToMilliseconds(BootTimeNow() - turn_->load->at);
  }
  if (events_sent_ >= kMinEventsForInterval) {
    turn_->event_interval =
        ToMilliseconds(last_event_ - *first_event_) / (events_sent_ - 1);
  }
  environment_.turns.End(*turn_, turn_owner_);
  turn_.reset();
}

milliseconds gateway_call::TimeLeft(steady_time now) const {
  return ToMilliseconds(deadline_ - now);
}

milliseconds gateway_call::MaxQueueTime() const {
  const milliseconds left = TimeLeft(BootTimeNow());
  const milliseconds patience =
      route_->max_event_gap.count() > 0 ? route_->max_event_gap : left;
  return milliseconds(static_cast<milliseconds::rep>(
      std::min(kWaitShareOfTimeLeft * static_cast<double>(left.count()),
               kWaitShareOfPatience * static_cast<double>(patience.count()))));
}

void gateway_call::OnDisconnect() {
  if (phase_ == phase::ended) {
    return;
  }
  if (attempt_) {
    attempt_->Cancel();
    EndAttempt();
  }
  if (sends_ == 0) {
    ReturnAllowance();
  }
  Finish("caller_gone");
}

bool gateway_call::MayBeSentBeforeStop() const {
  const steady_time now = BootTimeNow();
  return environment_.state.stop.MaySend(route_->name, TimeLeft(now),
                                         MayRunAgain(), now);
}

void gateway_call::EndForStop() {
  const std::shared_ptr<gateway_call> me = shared_from_this();
  if (attempt_) {
    attempt_->Cancel();
    EndAttempt();
    RecordPossibleRun("stopping", {});
  }
  RefuseForStop();
}

void gateway_call::RefuseForStop() {
  // Other gateways take the request.
  constexpr milliseconds kRetryAfter{50};
  Refuse(runs_ > 0 ? refusal{refusal_reason::target_failed, std::nullopt}
                   : refusal{refusal_reason::stopping, kRetryAfter});
}

void gateway_call::ReturnAllowance() {
  if (charged_team_) {
    environment_.allowances.Return(*charged_team_, allowance_holder_);
    charged_team_.reset();
  }
}

void gateway_call::Refuse(refusal answer) {
  if (runs_ == 0) {
    ReturnAllowance();
  }
  environment_.state.counters.Add(std::string("refused.") +
                                  NameOf(answer.reason));
  if (phase_ == phase::streaming || phase_ == phase::saving) {
    // The partial stream must not look complete.
    exchange_->Abort();
  } else {
    exchange_->Respond(environment_.protocol.Refuse(
        answer, call_ ? call_->request_id : std::string()));
  }
  retry_after_ = answer.retry_after;
  Finish(NameOf(answer.reason));
}

void gateway_call::Finish(const std::string& outcome) {
  if (phase_ == phase::ended) {
    return;
  }
  phase_ = phase::ended;
  gateway_state& state = environment_.state;
  const steady_time now = BootTimeNow();
  environment_.open_calls.erase(this);
  EndTurn();
  state.counters.Add("requests_ended." + outcome);
  state.metrics.AddLatency(route_ == nullptr ? "unrouted" : "request",
                           now - arrived_);
  if (first_event_) {
    state.metrics.AddLatency("first_event", *first_event_ - arrived_);
  }
  LogEnd(outcome, now);
}

}  // namespace gentian
