#include "gentian_gateway/crash_history.h"

#include <algorithm>
#include <set>

namespace gentian {

namespace {

constexpr milliseconds kRetention{900'000};
constexpr milliseconds kEvictionInterval{10'000};
// Each target that ends makes all requests that it ran suspect.
constexpr std::size_t kMaxSuspects = 4'096;
// Targets that a request may end before it counts as the cause.
constexpr std::size_t kMostCrashes = 3;
constexpr std::size_t kLeastCrashes = 2;
// A target that began to answer could run the request, at least for a while.
constexpr double kPartialAnswerWeight = 0.5;
// More crashes of one request tell nothing new.
constexpr std::size_t kMaxRemembered = 8;

}  // namespace

void crash_history::Add(const std::string& fingerprint,
                        const target_crash& crash,
                        steady_time now) {
  EvictOld(now);
  if (suspects_.size() >= kMaxSuspects && !IsSuspect(fingerprint)) {
    return;
  }
  suspect& subject = suspects_[fingerprint];
  std::vector<target_crash>& crashes = subject.crashes;
  const bool known = std::any_of(
      crashes.begin(), crashes.end(), [&crash](const target_crash& other) {
        return other.target == crash.target &&
               other.target_start == crash.target_start;
      });
  if (known || crashes.size() >= kMaxRemembered) {
    return;
  }
  subject.last_added = now;
  crashes.insert(
      std::upper_bound(crashes.begin(), crashes.end(), crash,
                       [](const target_crash& a, const target_crash& b) {
                         return a.ended_at < b.ended_at;
                       }),
      crash);
}

bool crash_history::AddAnswer(const std::string& fingerprint,
                              steady_time answered_at) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    return false;
  }
  std::vector<target_crash>& crashes = found->second.crashes;
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                               [answered_at](const target_crash& crash) {
                                 return crash.ended_at <= answered_at;
                               }),
                crashes.end());
  if (crashes.empty()) {
    suspects_.erase(found);
  }
  return true;
}

std::vector<target_crash> crash_history::CrashesOf(
    const std::string& fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  return found == suspects_.end() ? std::vector<target_crash>()
                                  : found->second.crashes;
}

bool crash_history::IsOverLimit(const std::string& fingerprint,
                                const answered_since& answered) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    return false;
  }
  double count = 0;
  std::set<std::string> contents;
  std::size_t targets = kMostCrashes + 1;
  steady_time last_end;
  for (const target_crash& crash : found->second.crashes) {
    // Targets that end at the same moment have another cause, such as a failure
    // domain that lost power.
    if (crash.sent_at >= last_end && !answered(crash)) {
      count += crash.has_answered_partly ? kPartialAnswerWeight : 1;
      last_end = crash.ended_at;
      contents.insert(crash.content);
      targets = std::min(targets, crash.service_targets);
    }
  }
  // A small service keeps a target.
  const std::size_t limit =
      std::clamp(targets, kLeastCrashes + 1, kMostCrashes + 1) - 1;
  // Otherwise blocking the one content is enough, and spares the team's other
  // requests.
  const bool is_decisive =
      contents.count(fingerprint) > 0 || contents.size() > 1;
  return is_decisive && count >= static_cast<double>(limit);
}

void crash_history::EvictOld(steady_time now) {
  if (now - last_eviction_ < kEvictionInterval) {
    return;
  }
  last_eviction_ = now;
  for (auto next = suspects_.begin(); next != suspects_.end();) {
    next = now - next->second.last_added > kRetention ? suspects_.erase(next)
                                                      : std::next(next);
  }
}

}  // namespace gentian
