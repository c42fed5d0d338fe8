#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "baseline_router.h"
#include "scheduler_router.h"

namespace gentian::bench {

namespace {

constexpr double kClientMs = 3;
constexpr double kBetweenDomainsMs = 1.5;
constexpr double kWithinDomainMs = 0.2;
constexpr double kReportIntervalMs = 100;
constexpr double kCacheEventLagMs = 250;
constexpr double kCacheEventLoss = 0.01;
constexpr double kLoseAtMs = 100'000;
constexpr double kRecoverAtMs = 160'000;
constexpr double kGiveUpRetryMs = 1'000;
constexpr double kImportFixedMs = 20;
constexpr double kImportTokenMs = 0.01;
constexpr double kTolerance = 1e-6;
constexpr std::uint64_t kMaxTokens = 512;
// Prompt of a sub-agent from its parent, and its answer to the parent.
constexpr double kSubAgentAnswerTokens = 200;

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double index = std::ceil(part * static_cast<double>(values.size())) - 1;
  return values[static_cast<std::size_t>(std::max(index, 0.0))];
}

}  // namespace

bool simulation::reference_bucket::Take(const team_settings& team,
                                        double now_ms) {
  level =
      std::min(team.burst, level + (now_ms - filled_ms) * team.rate / 1'000);
  filled_ms = now_ms;
  const bool fits = level >= 1 - kTolerance;
  level -= 1;
  return fits;
}

simulation::simulation(const deployment& where,
                       const scenario& what,
                       const std::string& policy,
                       std::uint64_t seed)
    : where_(where),
      what_(what),
      policy_(policy),
      seed_(seed),
      settings_(MakeConfiguration(where)),
      programs_(MakePrograms(where, what, kLengthMs, seed)),
      random_(seed + 17) {
  for (const auto& [id, target] : settings_.targets) {
    const bool is_tool = target.pool == pool_id("tools");
    targets_[id] = std::make_unique<engine_fake>(
        target, is_tool, clock_,
        [this](const target_cache_event& event) { Broadcast(event); });
  }
  for (const auto& [id, team] : settings_.teams) {
    arrivals_[id].level = team.burst;
    admissions_[id].level = team.burst;
  }
  if (policy == "gentianrun") {
    router_ =
        std::make_unique<scheduler_router>(settings_, clock_, *this, seed);
  } else {
    const auto kind = policy == "round_robin"
                          ? baseline_router::policy::round_robin
                          : baseline_router::policy::least_loaded;
    router_ = std::make_unique<baseline_router>(kind, settings_, clock_, *this);
  }
}

simulation::~simulation() = default;

run_result simulation::Run() {
  for (const program_plan& program : programs_) {
    ++unfinished_;
    clock_.After(program.start_ms, [this, &program] {
      auto started = std::make_unique<agent>();
      started->program = &program;
      started->turns = &program.turns;
      started->session = session_id("s" + std::to_string(agents_.size()));
      started->root = started->session;
      agents_.push_back(std::move(started));
      StartAgent(agents_.back().get());
    });
  }
  if (what_.lose_engine) {
    const auto lost = targets_.find(target_id("engine1"));
    clock_.After(kLoseAtMs, [lost] { lost->second->Lose(); });
    clock_.After(kRecoverAtMs, [lost] { lost->second->Recover(); });
  }
  clock_.After(kLengthMs, [this] {
    for (const auto& [id, target] : targets_) {
      if (target->settings().cache_tokens > 0) {
        utilization_ +=
            target->Utilization() / static_cast<double>(where_.engines);
      }
    }
  });
  SendReports();
  while (unfinished_ > 0 && clock_.Step(kLimitMs)) {
  }
  return Summarize();
}

double simulation::DelayMs(std::size_t daemon, const target_id& target) const {
  auto host = settings_.daemons.begin();
  std::advance(host, static_cast<std::ptrdiff_t>(daemon));
  return host->second.failure_domain ==
                 settings_.targets.at(target).failure_domain
             ? kWithinDomainMs
             : kBetweenDomainsMs;
}

void simulation::StartAgent(agent* started) {
  SendCall(started);
}

void simulation::SendCall(agent* caller) {
  const call_number number = ++last_call_;
  call_state& call = calls_[number];
  call.caller = caller;
  const turn_plan& turn = (*caller->turns)[caller->turn];
  work_item& item = call.request.item;
  item.team = team_id("team" + std::to_string(caller->program->team));
  item.program = program_id(caller->program->is_long ? "long" : "short");
  item.root_session = caller->root;
  item.pool = pool_id(caller->in_tool ? "tools" : "model");
  item.priority = caller->program->is_long ? where_.long_priority : 0;
  call.request.daemon = caller->program->daemon;
  if (caller->in_tool) {
    call.work.service_ms = turn.tool_ms;
  } else {
    call.work.session = caller->session;
    call.work.prompt_tokens = std::floor(caller->history + turn.new_tokens);
    call.work.generated_tokens = turn.generated_tokens;
    item.session = caller->session;
    item.prompt_tokens = static_cast<std::uint64_t>(call.work.prompt_tokens);
    item.max_tokens = kMaxTokens;
  }
  SendRequest(number);
}

void simulation::SendRequest(call_number number) {
  clock_.After(kClientMs, [this, number] {
    call_state& call = calls_.at(number);
    const team_settings& team = settings_.teams.at(call.request.item.team);
    call.sent_ms = clock_.now_ms();
    call.conforming = arrivals_[team.id].Take(team, clock_.now_ms());
    call.request.number = number;
    call.request.item.ticket = number;
    router_->Begin(call.request);
  });
}

void simulation::NoteAdmitted(call_number number) {
  const team_settings& team =
      settings_.teams.at(calls_.at(number).request.item.team);
  reference_bucket& bucket = admissions_[team.id];
  bucket.Take(team, clock_.now_ms());
  counted_.overspend_requests += bucket.level < -kTolerance ? 1 : 0;
}

void simulation::Refuse(call_number number, double retry_after_ms) {
  // The number of a call is never used twice by a daemon.
  call_state call = calls_.at(number);
  calls_.erase(number);
  ++counted_.refusals;
  // Only what the team was given counts against its rate.
  arrivals_[call.request.item.team].level += 1;
  const bool noisy = IsNoisy(*call.caller->program);
  counted_.wrongful_refusals += call.conforming && !noisy ? 1 : 0;
  const double jitter = 1 + random_.Uniform();
  clock_.After(2 * kClientMs + retry_after_ms * jitter,
               [this, caller = call.caller] { SendCall(caller); });
}

void simulation::GiveUp(call_number number) {
  agent* const caller = calls_.at(number).caller;
  calls_.erase(number);
  ++counted_.given_up;
  clock_.After(kGiveUpRetryMs, [this, caller] { SendCall(caller); });
}

void simulation::StartAt(call_number number, const target_id& target) {
  call_state& call = calls_.at(number);
  call.assigned_ms = clock_.now_ms();
  const double delay = DelayMs(call.request.daemon, target);
  clock_.After(delay, [this, number, target, delay] {
    engine_fake& engine = *targets_.at(target);
    const bool started = !engine.lost();
    engine.Start(calls_.at(number).work, [this, number, delay, started](
                                             bool ok, const call_usage& usage) {
      clock_.After(delay, [this, number, ok, usage, started] {
        Deliver(number, ok, usage, started);
      });
    });
  });
}

void simulation::Deliver(call_number number,
                         bool ok,
                         const call_usage& usage,
                         bool was_started) {
  if (!ok) {
    router_->Failed(number, was_started ? target_failure::broken
                                        : target_failure::not_sent);
    return;
  }
  const call_state call = calls_.at(number);
  calls_.erase(number);
  router_->Finished(number, usage);
  agent* const caller = call.caller;
  if (!caller->in_tool) {
    CountCall(call, usage);
    prompt_tokens_ += static_cast<double>(usage.prompt_tokens);
    cached_tokens_ += static_cast<double>(usage.cached_tokens);
    // Tokens that this session had been served before and that the engine
    // computed again.
    counted_.recomputed_tokens += std::max(
        0.0,
        std::min(caller->history, static_cast<double>(usage.prompt_tokens)) -
            static_cast<double>(usage.cached_tokens));
    caller->history = call.work.prompt_tokens + call.work.generated_tokens;
  }
  clock_.After(kClientMs, [this, caller] { CallEnded(caller); });
}

bool simulation::IsNoisy(const program_plan& program) const {
  return what_.noisy_factor > 0 && program.team == where_.noisy_team;
}

void simulation::CountCall(const call_state& call, const call_usage& usage) {
  const program_plan& program = *call.caller->program;
  if (program.start_ms < kWarmUpMs || IsNoisy(program)) {
    return;
  }
  others_.calls += 1;
  others_.prompt_tokens += static_cast<double>(usage.prompt_tokens);
  others_.cached_tokens += static_cast<double>(usage.cached_tokens);
  others_.wait_ms += call.assigned_ms - call.sent_ms;
  others_.engine_ms += clock_.now_ms() - call.assigned_ms;
}

void simulation::CallEnded(agent* caller) {
  const turn_plan& turn = (*caller->turns)[caller->turn];
  if (!caller->in_tool && turn.tool_ms > 0) {
    caller->in_tool = true;
    SendCall(caller);
    return;
  }
  caller->in_tool = false;
  AfterTurn(caller);
}

void simulation::AfterTurn(agent* caller) {
  const turn_plan& turn = (*caller->turns)[caller->turn];
  caller->running_children = turn.sub_agents.size();
  if (turn.sub_agents.empty()) {
    clock_.After(turn.pause_ms, [this, caller] { NextTurn(caller); });
    return;
  }
  for (const std::vector<turn_plan>& turns : turn.sub_agents) {
    auto child = std::make_unique<agent>();
    child->program = caller->program;
    child->turns = &turns;
    child->parent = caller;
    child->session = session_id("s" + std::to_string(agents_.size()));
    child->root = caller->root;
    agents_.push_back(std::move(child));
    StartAgent(agents_.back().get());
  }
}

void simulation::NextTurn(agent* caller) {
  ++caller->turn;
  if (caller->turn < caller->turns->size()) {
    SendCall(caller);
  } else {
    EndAgent(caller);
  }
}

void simulation::EndAgent(agent* ended) {
  clock_.After(kClientMs, [this, ended] {
    router_->SessionEnded(ended->program->daemon, ended->session);
  });
  agent* const parent = ended->parent;
  if (parent == nullptr) {
    latency_ms_[ended->program] = clock_.now_ms() - ended->program->start_ms;
    --unfinished_;
    return;
  }
  parent->history += kSubAgentAnswerTokens;
  --parent->running_children;
  if (parent->running_children == 0) {
    const turn_plan& turn = (*parent->turns)[parent->turn];
    clock_.After(turn.pause_ms, [this, parent] { NextTurn(parent); });
  }
}

void simulation::SendReports() {
  for (const auto& [id, target] : targets_) {
    if (target->lost()) {
      continue;
    }
    target_load load = target->Load();
    load.age = milliseconds(static_cast<std::int64_t>(what_.report_lag_ms));
    clock_.After(what_.report_lag_ms, [this, load] {
      for (std::size_t i = 0; i < where_.daemons; ++i) {
        router_->Receive(i, load);
      }
    });
  }
  clock_.After(kReportIntervalMs, [this] { SendReports(); });
}

void simulation::Broadcast(const target_cache_event& event) {
  clock_.After(kCacheEventLagMs, [this, event] {
    for (std::size_t i = 0; i < where_.daemons; ++i) {
      if (random_.Uniform() >= kCacheEventLoss) {
        router_->Receive(i, event);
      }
    }
  });
}

void simulation::Order(std::size_t daemon, const order_target& order) {
  clock_.After(DelayMs(daemon, order.target),
               [this, daemon, order] { Carry(daemon, order); });
}

void simulation::Carry(std::size_t daemon, const order_target& order) {
  engine_fake& engine = *targets_.at(order.target);
  if (engine.lost()) {
    return;
  }
  target_order_answered answer;
  answer.id = order.id;
  answer.ok = true;
  double delay = DelayMs(daemon, order.target);
  if (const auto* release = std::get_if<release_cache>(&order.body)) {
    engine.ReleaseCache(release->session);
  }
  if (std::holds_alternative<list_cache>(order.body)) {
    answer.listing = engine.Listing();
  }
  if (const auto* import = std::get_if<import_cache>(&order.body)) {
    const double tokens = targets_.at(import->source)->Cached(import->session);
    const double copy_ms = kImportFixedMs + kImportTokenMs * tokens;
    delay += copy_ms;
    clock_.After(copy_ms, [&engine, session = import->session, tokens] {
      if (tokens > engine.Cached(session) && !engine.lost()) {
        engine.StoreCache(session, tokens);
      }
    });
  }
  clock_.After(delay,
               [this, daemon, answer] { router_->Receive(daemon, answer); });
}

run_result simulation::Summarize() const {
  run_result result = counted_;
  result.deployment = where_.name;
  result.scenario = what_.name;
  result.policy = policy_;
  result.seed = seed_;
  result.programs_started = programs_.size();
  result.programs_finished = latency_ms_.size();
  result.utilization = utilization_;
  result.cache_hit_ratio =
      prompt_tokens_ > 0 ? cached_tokens_ / prompt_tokens_ : 0;
  if (others_.calls > 0) {
    result.others_hit_ratio = others_.cached_tokens / others_.prompt_tokens;
    result.others_wait_ms = others_.wait_ms / others_.calls;
    result.others_engine_ms = others_.engine_ms / others_.calls;
  }
  std::vector<double> all;
  std::map<std::size_t, std::vector<double>> by_team;
  for (const auto& [program, latency] : latency_ms_) {
    if (program->start_ms >= kWarmUpMs && !IsNoisy(*program)) {
      all.push_back(latency);
      by_team[program->team].push_back(latency);
    }
  }
  result.program_latency_p50_ms = Percentile(all, 0.5);
  result.program_latency_p99_ms = Percentile(all, 0.99);
  for (const auto& [team, values] : by_team) {
    result.worst_team_p99_ms =
        std::max(result.worst_team_p99_ms, Percentile(values, 0.99));
  }
  return result;
}

}  // namespace gentian::bench
