#include "gentian_gateway/target_pacer.h"

#include <algorithm>

namespace gentian {

namespace {

// A target that takes nothing still gets a request now and then: its answer
// tells when the limit ends.
constexpr double kMinRatePerSecond = 0.25;
constexpr milliseconds kRetention{60'000};

}  // namespace

target_pacer::reservation target_pacer::Reserve(const request& subject,
                                                steady_time now) {
  EvictIdle(now);
  const duration interval =
      FromSeconds(1 / std::max(kMinRatePerSecond, subject.rate));
  // A new target starts without a burst: it is in need already.
  const auto [place, is_new] = next_.try_emplace(
      subject.target, std::max(now, subject.earliest) + subject.burst);
  steady_time& next = place->second;
  const duration wait =
      std::max<duration>(duration(0), next - subject.burst - now);
  if (wait > subject.max_wait) {
    return {false, wait};
  }
  next = std::max(next, now) + interval;
  return {true, wait};
}

void target_pacer::Retain(
    const std::function<bool(const std::string& target)>& is_paced) {
  for (auto next = next_.begin(); next != next_.end();) {
    next = is_paced(next->first) ? std::next(next) : next_.erase(next);
  }
}

void target_pacer::EvictIdle(steady_time now) {
  if (now - last_eviction_ < kRetention) {
    return;
  }
  last_eviction_ = now;
  for (auto next = next_.begin(); next != next_.end();) {
    next =
        now - next->second > kRetention ? next_.erase(next) : std::next(next);
  }
}

}  // namespace gentian
