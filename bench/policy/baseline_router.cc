#include "baseline_router.h"

#include <algorithm>

namespace gentian::bench {

baseline_router::baseline_router(policy kind,
                                 const configuration& settings,
                                 virtual_clock& clock,
                                 router_host& host)
    : kind_(kind), settings_(settings), clock_(clock), host_(host) {
  const auto parts = static_cast<double>(settings.daemons.size());
  for (std::size_t i = 0; i < settings.daemons.size(); ++i) {
    daemon each;
    for (const auto& [id, team] : settings.teams) {
      each.buckets[id].level = team.burst / parts;
    }
    for (const auto& [id, target] : settings.targets) {
      target_view view;
      view.id = id;
      view.pool = target.pool;
      each.targets.push_back(view);
    }
    // Daemons do not start their turns at the same target.
    each.next = i;
    daemons_.push_back(std::move(each));
  }
}

void baseline_router::Begin(const call_request& request) {
  calls_[request.number].request = request;
  const team_settings& team = settings_.teams.at(request.item.team);
  const auto parts = static_cast<double>(settings_.daemons.size());
  bucket& tokens = daemons_[request.daemon].buckets[request.item.team];
  const double per_ms = team.rate / parts / 1'000;
  tokens.level =
      std::min(team.burst / parts,
               tokens.level + (clock_.now_ms() - tokens.filled_ms) * per_ms);
  tokens.filled_ms = clock_.now_ms();
  // A negative level stands for calls that wait for tokens to come.
  const double wait_ms = std::max(0.0, (1 - tokens.level) / per_ms);
  if (wait_ms > static_cast<double>(settings_.fleet.limits_wait.count())) {
    calls_.erase(request.number);
    host_.Refuse(request.number, wait_ms);
    return;
  }
  tokens.level -= 1;
  clock_.After(wait_ms, [this, call = request.number] {
    host_.NoteAdmitted(call);
    Send(call);
  });
}

double baseline_router::Load(const target_view& target) const {
  // What was sent after the report was measured is not in it.
  double load = target.reported;
  for (const double sent : target.sent_ms) {
    load += sent > target.measured_ms ? 1 : 0;
  }
  return load;
}

baseline_router::target_view* baseline_router::Choose(daemon& at,
                                                      const pool_id& pool) {
  std::vector<target_view*> usable;
  for (const bool avoid : {true, false}) {
    for (target_view& target : at.targets) {
      const bool skipped = avoid && target.avoid_until_ms > clock_.now_ms();
      if (target.pool == pool && !skipped) {
        usable.push_back(&target);
      }
    }
    if (!usable.empty()) {
      break;
    }
  }
  const std::size_t turn = at.next++;
  std::rotate(
      usable.begin(),
      usable.begin() + static_cast<std::ptrdiff_t>(turn % usable.size()),
      usable.end());
  if (kind_ == policy::round_robin) {
    return usable.front();
  }
  return *std::min_element(usable.begin(), usable.end(),
                           [this](const target_view* a, const target_view* b) {
                             return Load(*a) < Load(*b);
                           });
}

void baseline_router::Send(call_number number) {
  call_state& call = calls_.at(number);
  target_view* target =
      Choose(daemons_[call.request.daemon], call.request.item.pool);
  target->sent_ms.push_back(clock_.now_ms());
  call.target = target->id;
  ++call.attempts;
  host_.StartAt(number, target->id);
}

void baseline_router::Finished(call_number call, const call_usage& /*usage*/) {
  calls_.erase(call);
}

void baseline_router::Failed(call_number number, target_failure /*failure*/) {
  call_state& call = calls_.at(number);
  for (target_view& target : daemons_[call.request.daemon].targets) {
    if (target.id == call.target) {
      target.avoid_until_ms = clock_.now_ms() + kAvoidMs;
    }
  }
  if (call.attempts >= kMaxAttempts) {
    calls_.erase(number);
    host_.GiveUp(number);
    return;
  }
  clock_.After(kRetryMs, [this, number] { Send(number); });
}

void baseline_router::Receive(std::size_t daemon, const target_load& load) {
  for (target_view& target : daemons_[daemon].targets) {
    if (target.id != load.target) {
      continue;
    }
    target.reported = load.running + load.queued;
    target.measured_ms =
        clock_.now_ms() - static_cast<double>(load.age.count());
    while (!target.sent_ms.empty() &&
           target.sent_ms.front() <= target.measured_ms) {
      target.sent_ms.pop_front();
    }
  }
}

}  // namespace gentian::bench
