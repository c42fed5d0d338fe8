#include "gentian_gateway/target_selector.h"

#include <algorithm>
#include <tuple>

namespace gentian {

namespace {

// Load reports lag by some hundred milliseconds and are of little use after a
// second.
constexpr milliseconds kMaxLoadReportAge{1'000};
// Fraction of a target's slots at which it counts as full, and targets with
// free slots are preferred.
constexpr double kFullLoadFraction = 0.75;

int ExpectedLoad(const known_target& target, steady_time now) {
  int reported = 0;
  if (target.load && now - target.load->at < kMaxLoadReportAge) {
    reported = target.load->running + target.load->waiting;
  }
  return std::max(reported, target.open_requests);
}

bool IsFull(const known_target& target, steady_time now) {
  return ExpectedLoad(target, now) >=
         std::max(1.0, kFullLoadFraction * target.record.slots);
}

// Smaller is better: reachable targets first, then those with free slots, then
// those with the preferred software. The rest is ordered by hash if there is an
// affinity key, otherwise by whether they have a limit, load and failure
// domain.
using rank = std::tuple<bool, bool, bool, bool, double, bool, std::uint64_t>;

rank RankOf(const known_target& target,
            const target_requirements& demand,
            std::uint64_t seed,
            steady_time now) {
  const bool avoided = now < target.avoid_until;
  const std::uint64_t hash = StableHash(target.record.id, seed);
  const bool has_affinity = !demand.affinity_key.empty();
  const double load = has_affinity
                          ? 0.0
                          : static_cast<double>(ExpectedLoad(target, now)) /
                                std::max(1, target.record.slots);
  const bool far =
      !has_affinity && target.record.failure_domain != demand.failure_domain;
  const bool other_software = !demand.preferred_version.empty() &&
                              target.record.version != demand.preferred_version;
  return {avoided,
          IsFull(target, now),
          other_software,
          !has_affinity && target.IsLimited(),
          load,
          far,
          hash};
}

}  // namespace

const known_target* SelectTarget(const target_table& targets,
                                 const target_requirements& demand,
                                 steady_time now) {
  const std::uint64_t seed = StableHash(demand.affinity_key);
  const known_target* best = nullptr;
  rank best_rank;
  for (const known_target* target : targets.Serving(demand.service)) {
    const bool excluded =
        std::find(demand.excluded.begin(), demand.excluded.end(),
                  target->record.id) != demand.excluded.end();
    // The address now belongs to another target, which can't run the request.
    const bool wrong_software =
        !demand.version.empty() && target->record.version != demand.version;
    if (excluded || wrong_software ||
        (demand.may_run && !demand.may_run(target->record)) ||
        target->avoid_until == steady_time::max() || target->HasNoRoom(now) ||
        (demand.skip_limited && target->IsLimited())) {
      continue;
    }
    const rank candidate = RankOf(*target, demand, seed, now);
    if (best == nullptr || candidate < best_rank) {
      best = target;
      best_rank = candidate;
    }
  }
  return best;
}

}  // namespace gentian
