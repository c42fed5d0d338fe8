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
// affinity key, otherwise by whether they name a limit, load and failure
// domain. A cold target ranks by its load, so that it gets all that its limit
// lets it take, and more as it warms up.
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
          !has_affinity && target.NamesLimit(),
          load,
          far,
          hash};
}

// True if a cold target has no room for the request, which must not overload
// the others in its place. A request that has been tried already is not
// refused for that: it may have run.
bool LacksColdTarget(const std::vector<const known_target*>& serving,
                     const target_requirements& demand,
                     steady_time now) {
  return demand.excluded.empty() &&
         std::any_of(serving.begin(), serving.end(),
                     [&](const known_target* target) {
                       return target->cold.Rate(now) &&
                              (demand.skip_limited || target->HasNoRoom(now));
                     });
}

bool HasFreeSlot(const known_target& target, steady_time now) {
  return ExpectedLoad(target, now) < std::max(1, target.record.slots);
}

}  // namespace

const known_target* SelectTarget(const target_table& targets,
                                 const target_requirements& demand,
                                 steady_time now) {
  const std::uint64_t seed = StableHash(demand.affinity_key);
  const known_target* best = nullptr;
  rank best_rank;
  const std::vector<const known_target*> serving =
      targets.Serving(demand.service);
  const bool needs_free_slot = LacksColdTarget(serving, demand, now);
  for (const known_target* target : serving) {
    const bool excluded =
        std::find(demand.excluded.begin(), demand.excluded.end(),
                  target->record.id) != demand.excluded.end();
    // The address now belongs to another target, which can't run the request.
    const bool wrong_software =
        !demand.version.empty() && target->record.version != demand.version;
    if (excluded || wrong_software ||
        target->avoid_until == steady_time::max() || target->HasNoRoom(now) ||
        (demand.skip_limited && target->IsLimited(now)) ||
        (needs_free_slot && !HasFreeSlot(*target, now))) {
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
