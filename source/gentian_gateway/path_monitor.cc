#include "gentian_gateway/path_monitor.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace gentian {

namespace {

// Distinct targets whose connections fail in a row. Targets that crash together
// are told apart by probes of other targets, which succeed.
constexpr std::size_t kMinFailedTargets = 3;
// A failure that is older says nothing about the path now.
constexpr milliseconds kFailureAge{5'000};
// Silence after which a target's path is probed. Sound targets may be silent
// for a second; the probe tells them apart.
constexpr milliseconds kSilence{400};
// Shortest interval between probes of one target.
constexpr milliseconds kTargetProbeInterval{1'000};
// Interval between probes while partitioned, and after a failure.
constexpr milliseconds kProbeInterval{300};

}  // namespace

void path_monitor::SetPartitioned(bool partitioned, steady_time now) {
  if (partitioned_ != partitioned) {
    partitioned_ = partitioned;
    changed_at_ = now;
  }
}

void path_monitor::OnFailed(const std::string& target, steady_time now) {
  activity& subject = activities_[target];
  probe_failed_ |= subject.is_probing;
  subject.is_probing = false;
  subject.is_waiting = false;
  failed_[target] = now;
  for (auto next = failed_.begin(); next != failed_.end();) {
    next = now - next->second > kFailureAge ? failed_.erase(next)
                                            : std::next(next);
  }
  if (failed_.size() >= kMinFailedTargets && probe_failed_) {
    SetPartitioned(true, now);
  }
}

void path_monitor::OnBroken(const std::string& target, steady_time now) {
  activity& subject = activities_[target];
  subject.is_waiting = true;
  subject.waiting_since = now - kSilence;
}

void path_monitor::OnConnected(const std::string& target, steady_time now) {
  activities_[target].is_probing = false;
  failed_.clear();
  probe_failed_ = false;
  SetPartitioned(false, now);
}

void path_monitor::OnSent(const std::string& target, steady_time now) {
  activity& subject = activities_[target];
  if (!subject.is_waiting) {
    subject.is_waiting = true;
    subject.waiting_since = now;
  }
}

void path_monitor::OnHeard(const std::string& target, steady_time now) {
  // Bytes on one connection speak for the others to the same target.
  activity& subject = activities_[target];
  subject.is_waiting = false;
  subject.waiting_since = now;
}

void path_monitor::StartProbe(const std::string& target,
                              steady_time now,
                              probes& due) {
  activity& subject = activities_[target];
  subject.is_probing = true;
  subject.probed_at = now;
  due.push_back(target);
}

path_monitor::probes path_monitor::TakeProbes(
    const std::vector<candidate>& known,
    std::uint64_t random,
    steady_time now) {
  std::set<std::string> ids;
  for (const candidate& next : known) {
    ids.insert(next.id);
  }
  for (auto next = activities_.begin(); next != activities_.end();) {
    next =
        ids.count(next->first) == 0 ? activities_.erase(next) : std::next(next);
  }
  for (auto next = failed_.begin(); next != failed_.end();) {
    next = ids.count(next->first) == 0 ? failed_.erase(next) : std::next(next);
  }
  probes due;
  if (partitioned_) {
    if (now - probed_at_ >= kProbeInterval) {
      probed_at_ = now;
      ProbeOthers(known, 1, random, now, due);
    }
    return due;
  }
  for (const std::string& target : ids) {
    const activity& subject = activities_[target];
    if (subject.is_waiting && now - subject.waiting_since >= kSilence &&
        MayProbe(target, now)) {
      StartProbe(target, now, due);
    }
  }
  if (!failed_.empty()) {
    const std::size_t pending = CountProbes() + failed_.size();
    ProbeOthers(known,
                pending < kMinFailedTargets ? kMinFailedTargets - pending : 0,
                random, now, due);
    if (CountProbes() == 0 && failed_.size() >= ids.size()) {
      // All targets have failed, of fewer than kMinFailedTargets.
      SetPartitioned(true, now);
    }
  }
  return due;
}

bool path_monitor::MayProbe(const std::string& target, steady_time now) {
  const activity& subject = activities_[target];
  return !subject.is_probing && now - subject.probed_at >= kTargetProbeInterval;
}

std::size_t path_monitor::CountProbes() const {
  return static_cast<std::size_t>(
      std::count_if(activities_.begin(), activities_.end(),
                    [](const auto& entry) { return entry.second.is_probing; }));
}

// Targets that have not failed say more, and those of other services most.
void path_monitor::ProbeOthers(const std::vector<candidate>& known,
                               std::size_t count,
                               std::uint64_t random,
                               steady_time now,
                               probes& due) {
  std::set<std::string> failed_services;
  for (const candidate& next : known) {
    if (failed_.count(next.id) > 0) {
      failed_services.insert(next.service);
    }
  }
  using rank = std::tuple<bool, std::uint64_t, const candidate*>;
  std::vector<rank> ranked;
  for (const candidate& next : known) {
    if (MayProbe(next.id, now) &&
        (partitioned_ || failed_.count(next.id) == 0)) {
      ranked.emplace_back(failed_services.count(next.service) > 0,
                          StableHash(next.id, random), &next);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
    StartProbe(std::get<const candidate*>(ranked[i])->id, now, due);
  }
}

}  // namespace gentian
