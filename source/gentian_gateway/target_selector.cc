#include "gentian_gateway/target_selector.h"

#include <algorithm>
#include <array>
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

// Targets without a key that are compared for one request. With more, daemons
// that have the same old reports choose the same target; with fewer, a slow
// target isn't avoided.
constexpr std::size_t kComparedTargets = 3;
// Draws for them. Targets that are unusable, or less capable than others, take
// a part of these.
constexpr int kMaxDraws = 24;
// A target counts as full if its expected completion is this much later than
// that of a usual target under the usual load. Other targets would have to read
// the prompt that it holds.
constexpr double kMuchLater = 2.5;

bool IsFull(const known_target& target, steady_time now) {
  return ExpectedLoad(target, now) >=
         std::max(1.0, kFullLoadFraction * target.record.slots);
}

bool HasFreeSlot(const known_target& target, steady_time now) {
  return ExpectedLoad(target, now) < std::max(1, target.record.slots);
}

bool IsMuchLater(const known_target& target,
                 const service_performance& service,
                 const request_work& work,
                 steady_time now) {
  const double unit = ToSeconds(service.median_unit_time);
  const double units = work.units > 0 ? work.units : service.units_per_request;
  const double usual =
      unit * (units + service.requests_per_slot * service.units_per_request);
  return usual > 0 && ToSeconds(ExpectedCompletion(target, service, work,
                                                   now)) > kMuchLater * usual;
}

// Smaller is better: reachable targets first, then those with free slots, then
// those with the preferred software. The rest is ordered by hash if there is an
// affinity key, otherwise by whether they name a limit, load and failure
// domain. A cold target ranks by its load, so that it gets all that its limit
// lets it take, and more as it warms up.
// With charges, the charge and the wait for a slot come before the load, and
// take the place of the free slots: a domain whose slots are nearly all taken
// may still be the better one.
using rank =
    std::tuple<bool, bool, bool, bool, double, double, bool, std::uint64_t>;

rank RankOf(const known_target& target,
            const target_requirements& demand,
            const service_performance& service,
            std::uint64_t seed,
            steady_time now) {
  const bool avoided = now < target.avoid_until;
  const std::uint64_t hash = StableHash(target.record.id, seed);
  const bool has_affinity = !demand.affinity_key.empty();
  const double load = has_affinity
                          ? 0.0
                          : static_cast<double>(ExpectedLoad(target, now)) /
                                std::max(1, target.record.slots);
  const bool is_charged = demand.charges != nullptr && !has_affinity;
  const double cost =
      is_charged ? demand.charges->CostOf(target.record.failure_domain, load)
                 : 0.0;
  const bool far =
      !has_affinity && target.record.failure_domain != demand.failure_domain;
  const bool other_software = !demand.preferred_version.empty() &&
                              target.record.version != demand.preferred_version;
  const bool is_full = ((!is_charged || !demand.preferred_version.empty()) &&
                        IsFull(target, now)) ||
                       (has_affinity && service.reports_pace &&
                        IsMuchLater(target, service, demand.work, now));
  return {avoided,
          is_full,
          other_software,
          !has_affinity && target.NamesLimit(),
          cost,
          load,
          far,
          hash};
}

bool IsUsable(const target_table& table,
              const known_target& target,
              const target_requirements& demand,
              steady_time now) {
  if (!table.TakesRequests(target) ||
      target.avoid_until == steady_time::max() || target.HasNoRoom(now) ||
      (demand.skip_limited && target.IsLimited(now))) {
    return false;
  }
  // The address now belongs to another target, which can't run the request.
  const bool wrong_software =
      !demand.version.empty() && target.record.version != demand.version;
  return !wrong_software &&
         (!demand.may_run || demand.may_run(target.record)) &&
         std::find(demand.excluded.begin(), demand.excluded.end(),
                   target.record.id) == demand.excluded.end();
}

// Smaller is better.
using target_class = std::tuple<bool, bool, bool, bool>;

target_class ClassOf(const known_target& target,
                     const target_requirements& demand,
                     const service_performance& service,
                     steady_time now) {
  const bool other_software = !demand.preferred_version.empty() &&
                              target.record.version != demand.preferred_version;
  const bool full =
      RequestsAhead(target, service, now) >= std::max(1, target.record.slots);
  return {now < target.avoid_until, full, other_software, target.NamesLimit()};
}

// Chooses among targets by class, then expected completion.
class soonest_target {
 public:
  soonest_target(const target_requirements& demand,
                 const service_performance& service,
                 steady_time now)
      : demand_(demand), service_(service), now_(now) {}

  void Consider(const known_target& target) {
    const target_class its_class = ClassOf(target, demand_, service_, now_);
    const duration completion =
        ExpectedCompletion(target, service_, demand_.work, now_);
    if (best_ == nullptr || std::tie(its_class, completion) <
                                std::tie(best_class_, best_completion_)) {
      best_ = &target;
      best_class_ = its_class;
      best_completion_ = completion;
    }
  }

  const known_target* best() const { return best_; }
  bool IsBestClass() const {
    return best_ != nullptr && best_class_ == target_class();
  }
  const target_class& best_class() const { return best_class_; }

 private:
  const target_requirements& demand_;
  const service_performance& service_;
  steady_time now_;
  const known_target* best_ = nullptr;
  target_class best_class_;
  duration best_completion_{};
};

// A sequence of numbers that looks random (SplitMix64).
std::uint64_t NextDraw(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15U;
  std::uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

double ToFraction(std::uint64_t draw) {
  constexpr unsigned kUnusedBits = 11;
  constexpr double kFractions = 9007199254740992.0;  // 2^53
  return static_cast<double>(draw >> kUnusedBits) / kFractions;
}

// The cost doesn't grow with the number of targets, unless most are unusable or
// full.
const known_target* SelectSoonest(const target_table& table,
                                  const service_targets& service,
                                  const target_requirements& demand,
                                  bool needs_free_slot,
                                  steady_time now) {
  const std::vector<const known_target*>& targets = service.targets;
  const auto may_choose = [&](const known_target& target) {
    return IsUsable(table, target, demand, now) &&
           (!needs_free_slot || HasFreeSlot(target, now));
  };
  soonest_target chosen(demand, service.performance, now);
  std::array<const known_target*, kComparedTargets> drawn{};
  std::size_t drawn_count = 0;
  std::uint64_t state = demand.draw;
  for (int i = 0; i < kMaxDraws && drawn_count < kComparedTargets; ++i) {
    const known_target* target = targets[NextDraw(state) % targets.size()];
    const double share = CapacityOf(*target, service.performance) /
                         service.performance.greatest_capacity;
    const auto end = drawn.begin() + static_cast<std::ptrdiff_t>(drawn_count);
    if (ToFraction(NextDraw(state)) < share &&
        std::find(drawn.begin(), end, target) == end && may_choose(*target)) {
      drawn[drawn_count++] = target;
      chosen.Consider(*target);
    }
  }
  if (chosen.IsBestClass()) {
    return chosen.best();
  }
  // Those that were drawn are full, avoided or limited; others may not be.
  // Among equals, those that were drawn come first, so that requests are
  // spread.
  soonest_target other(demand, service.performance, now);
  for (const known_target* target : targets) {
    if (may_choose(*target)) {
      other.Consider(*target);
    }
  }
  return chosen.best() != nullptr && chosen.best_class() <= other.best_class()
             ? chosen.best()
             : other.best();
}

// True if so many cold targets have no room for the request that the others
// must not be overloaded in their place. A request that has been tried already
// is not refused for that: it may have run.
bool LackColdTargets(const target_table& table,
                     const std::vector<const known_target*>& targets,
                     const target_requirements& demand,
                     steady_time now) {
  // The others can queue the requests of a smaller part.
  constexpr double kMinShare = 0.1;
  if (!demand.excluded.empty()) {
    return false;
  }
  const auto lacking = std::count_if(
      targets.begin(), targets.end(), [&](const known_target* target) {
        return target->cold.Rate(now) && table.TakesRequests(*target) &&
               (demand.skip_limited || target->HasNoRoom(now));
      });
  return lacking > 0 && static_cast<double>(lacking) >=
                            kMinShare * static_cast<double>(targets.size());
}

}  // namespace

const known_target* SelectTarget(const target_table& targets,
                                 const target_requirements& demand,
                                 steady_time now) {
  const service_targets* service = targets.FindService(demand.service);
  if (service == nullptr) {
    return nullptr;
  }
  const bool needs_free_slot =
      LackColdTargets(targets, service->targets, demand, now);
  if (service->performance.reports_pace && demand.affinity_key.empty() &&
      demand.charges == nullptr) {
    return SelectSoonest(targets, *service, demand, needs_free_slot, now);
  }
  const std::uint64_t seed = StableHash(demand.affinity_key);
  const known_target* best = nullptr;
  rank best_rank;
  for (const known_target* target : service->targets) {
    if (!IsUsable(targets, *target, demand, now) ||
        (needs_free_slot && !HasFreeSlot(*target, now))) {
      continue;
    }
    const rank candidate =
        RankOf(*target, demand, service->performance, seed, now);
    if (best == nullptr || candidate < best_rank) {
      best = target;
      best_rank = candidate;
    }
  }
  return best;
}

}  // namespace gentian
