#include "gentian_gateway/turn_scheduler.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "gentian_core/gentian_core.h"

namespace gentian {

namespace {

// Slowdown relative to an idle engine. Above the upper bound, more concurrent
// turns do not raise an engine's throughput; below the lower bound, the engine
// can take more.
constexpr double kSlowdownHigh = 1.9;
constexpr double kSlowdownLow = 1.6;
constexpr double kSlowdownSmoothing = 0.1;
// Initial and least fraction of an engine's slots that are used, and the least
// number of turns.
constexpr double kInitialSlotFraction = 0.5;
constexpr double kMinSlotFraction = 0.15;
constexpr double kMinTurns = 2;
// Change of the limit on turns for each measurement.
constexpr double kLimitIncrease = 0.1;
constexpr double kLimitDecrease = 0.1;
// Factor by which the idle interval grows with each measurement, so that one
// value that was too low does not persist: it doubles in about 2,300 turns.
constexpr double kIdleIntervalGrowth = 1.0003;
// A program moves to another engine if the load of its current engine exceeds
// this ratio of the least load plus this number of turns. Processing its prompt
// again costs about as much.
constexpr double kMoveMarginTurns = 6;
constexpr double kMoveLoadRatio = 1.5;
constexpr milliseconds kMaxLoadReportAge{1'500};
constexpr milliseconds kPlacementRetention{60'000};
// Time after its deadline at which a turn counts as ended although its end was
// not reported.
constexpr milliseconds kEndReportGrace{500};
// Turns beyond its share of a target's limit count against a daemon for at most
// this time.
constexpr milliseconds kMaxShareDebt{2'000};
// A program with less time left than this can't finish another turn in time.
constexpr milliseconds kMinTurnTime{200};

}  // namespace

turn_scheduler::pool& turn_scheduler::PoolOf(const std::string& service) {
  pool& service_pool = pools_[service];
  if (service_pool.turns_per_target == 0) {
    for (const known_target* target : targets_.Serving(service)) {
      service_pool.turns_per_target =
          std::max(service_pool.turns_per_target,
                   kInitialSlotFraction * target->record.slots);
    }
  }
  return service_pool;
}

double turn_scheduler::ConcurrencyLimit(const std::string& service) const {
  const auto found = pools_.find(service);
  if (found == pools_.end()) {
    return 0;
  }
  const auto serving = static_cast<double>(targets_.Serving(service).size());
  return std::max(kMinTurns, found->second.turns_per_target * serving /
                                 static_cast<double>(daemon_count_));
}

void turn_scheduler::Add(const waiting_turn& turn) {
  PoolOf(turn.service);
  waiting_.push_back(turn);
}

std::vector<turn_decision> turn_scheduler::Advance(steady_time now) {
  RemoveExpired(now);
  EvictIdlePlacements(now);
  const auto rank = [now](const waiting_turn& turn) {
    const bool late = turn.finish_by - now < kMinTurnTime;
    return std::make_tuple(turn.is_excessive, late, turn.priority,
                           turn.finish_by, turn.ticket);
  };
  std::sort(waiting_.begin(), waiting_.end(),
            [&rank](const waiting_turn& a, const waiting_turn& b) {
              return rank(a) < rank(b);
            });
  // Computing a limit iterates over the targets of the service, so it is done
  // once for each service.
  std::map<std::string, double> limits;
  const auto has_room = [&](const std::string& service) {
    const auto [place, is_new] = limits.try_emplace(service, 0.0);
    if (is_new) {
      place->second = ConcurrencyLimit(service);
    }
    return static_cast<double>(running_by_service_[service]) < place->second;
  };
  // Services and homes that were found full. A turn can only make them fuller.
  std::set<std::pair<std::string, std::vector<std::string>>> full_homes;
  const auto has_room_in_homes = [&](const waiting_turn& turn) {
    if (!turn.may_run) {
      return true;
    }
    const auto homes = std::make_pair(turn.service, turn.homes);
    if (full_homes.count(homes) > 0) {
      return false;
    }
    const bool has = HasRoomInHomes(turn);
    if (!has) {
      full_homes.insert(homes);
    }
    return has;
  };
  std::vector<turn_decision> decisions;
  std::vector<waiting_turn> kept;
  for (waiting_turn& turn : waiting_) {
    if (has_room(turn.service) && has_room_in_homes(turn)) {
      const std::string target = ChooseTarget(turn, now);
      running_[turn.ticket] = {turn.service, target, now, turn.deadline};
      ++running_by_service_[turn.service];
      decisions.push_back({turn.ticket, true, target});
    } else if (now >= turn.reject_at) {
      decisions.push_back({turn.ticket, false, ""});
    } else {
      kept.push_back(std::move(turn));
    }
  }
  waiting_ = std::move(kept);
  return decisions;
}

double turn_scheduler::TurnsAt(const known_target& target,
                               steady_time now) const {
  double turns = 0;
  steady_time counted_from;
  if (target.load && now - target.load->at < kMaxLoadReportAge) {
    turns = target.load->running + target.load->waiting;
    counted_from = target.load->at;
  }
  // Add the turns that were placed after the load report.
  for (const auto& [ticket, running] : running_) {
    if (running.target == target.record.id &&
        running.started_at > counted_from) {
      turns += 1;
    }
  }
  return turns;
}

double turn_scheduler::EstimatedLoad(const known_target& target,
                                     steady_time now) const {
  const auto speed = speeds_.find(target.record.id);
  return TurnsAt(target, now) *
         (speed == speeds_.end() ? 1 : speed->second.idle_interval_s);
}

bool turn_scheduler::HasRoomInHomes(const waiting_turn& turn) const {
  const auto found = pools_.find(turn.service);
  if (found == pools_.end()) {
    return true;
  }
  std::set<std::string> at_home;
  for (const known_target* target : targets_.Serving(turn.service)) {
    if (turn.may_run(target->record)) {
      at_home.insert(target->record.id);
    }
  }
  const auto running = std::count_if(
      running_.begin(), running_.end(), [&at_home](const auto& entry) {
        return at_home.count(entry.second.target) > 0;
      });
  const double limit =
      std::max(kMinTurns, found->second.turns_per_target *
                              static_cast<double>(at_home.size()) /
                              static_cast<double>(daemon_count_));
  return static_cast<double>(running) < limit;
}

bool turn_scheduler::MayGetTurn(const known_target& target,
                                steady_time now) const {
  if (!target.IsLimited(now)) {
    return true;
  }
  const auto used = share_used_until_.find(target.record.id);
  return !target.HasNoRoom(now) &&
         (used == share_used_until_.end() || used->second <= now);
}

void turn_scheduler::Pace(const known_target& target, steady_time now) {
  const std::optional<double> rate = target.RateLimit(now);
  if (!rate) {
    return;
  }
  const double share = *rate / static_cast<double>(daemon_count_);
  const duration interval = share * ToSeconds(kMaxShareDebt) > 1
                                ? FromSeconds(1 / share)
                                : kMaxShareDebt;
  steady_time& used = share_used_until_[target.record.id];
  used = std::min(std::max(used, now) + interval, now + kMaxShareDebt);
}

std::string turn_scheduler::ChooseTarget(const waiting_turn& turn,
                                         steady_time now) {
  placement& assigned = placements_[turn.program];
  assigned.last_used = now;
  const known_target* current = nullptr;
  const known_target* least = nullptr;
  bool least_may = false;
  double current_load = 0;
  double least_load = 0;
  std::uint64_t least_hash = 0;
  double least_cost = 0;
  const std::optional<domain_charges> charges =
      charges_ ? charges_(turn, now) : std::nullopt;
  for (const known_target* target : targets_.Serving(turn.service)) {
    if (now < target->avoid_until ||
        (turn.may_run && !turn.may_run(target->record))) {
      continue;
    }
    const double load = EstimatedLoad(*target, now);
    // The hash breaks ties, so that programs are spread over equally loaded
    // targets.
    const std::uint64_t hash =
        StableHash(turn.program, StableHash(target->record.id));
    const bool may = MayGetTurn(*target, now);
    const double cost =
        charges ? charges->CostOf(
                      target->record.failure_domain,
                      TurnsAt(*target, now) / std::max(1, target->record.slots))
                : 0;
    if (least == nullptr ||
        std::make_tuple(!may, cost, load, hash) <
            std::make_tuple(!least_may, least_cost, least_load, least_hash)) {
      least = target;
      least_may = may;
      least_load = load;
      least_hash = hash;
      least_cost = cost;
    }
    if (target->record.id == assigned.target) {
      current = may ? target : nullptr;
      current_load = load;
    }
  }
  if (least == nullptr) {
    return {};
  }
  const auto speed = speeds_.find(least->record.id);
  const double one_turn =
      speed == speeds_.end() ? 1 : speed->second.idle_interval_s;
  if (current == nullptr || current_load > kMoveLoadRatio * least_load +
                                               kMoveMarginTurns * one_turn) {
    assigned.target = least->record.id;
    current = least;
  }
  Pace(*current, now);
  return assigned.target;
}

void turn_scheduler::Remove(turn_ticket ticket) {
  const auto found = running_.find(ticket);
  if (found != running_.end()) {
    --running_by_service_[found->second.service];
    running_.erase(found);
    return;
  }
  waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(),
                                [ticket](const waiting_turn& turn) {
                                  return turn.ticket == ticket;
                                }),
                 waiting_.end());
}

void turn_scheduler::AddSample(const std::string& service,
                               const turn_sample& sample) {
  const double interval = ToSeconds(sample.event_interval);
  if (interval <= 0) {
    return;
  }
  double& idle = speeds_[sample.target].idle_interval_s;
  idle = idle == 0 ? interval : std::min(idle * kIdleIntervalGrowth, interval);
  pool& service_pool = PoolOf(service);
  service_pool.slowdown +=
      kSlowdownSmoothing * (interval / idle - service_pool.slowdown);
  double slots = 1;
  for (const known_target* target : targets_.Serving(service)) {
    slots = std::max(slots, static_cast<double>(target->record.slots));
  }
  const double least =
      std::min(slots, std::max(kMinTurns, kMinSlotFraction * slots));
  if (service_pool.slowdown > kSlowdownHigh) {
    service_pool.turns_per_target -= kLimitDecrease;
  } else if (service_pool.slowdown < kSlowdownLow) {
    service_pool.turns_per_target += kLimitIncrease;
  }
  service_pool.turns_per_target =
      std::clamp(service_pool.turns_per_target, least, slots);
}

void turn_scheduler::RemoveExpired(steady_time now) {
  for (auto next = running_.begin(); next != running_.end();) {
    if (now > next->second.deadline + kEndReportGrace) {
      --running_by_service_[next->second.service];
      next = running_.erase(next);
    } else {
      ++next;
    }
  }
}

void turn_scheduler::EvictIdlePlacements(steady_time now) {
  if (now - last_eviction_ < kPlacementRetention) {
    return;
  }
  last_eviction_ = now;
  for (auto next = share_used_until_.begin();
       next != share_used_until_.end();) {
    next = next->second < now ? share_used_until_.erase(next) : std::next(next);
  }
  for (auto next = placements_.begin(); next != placements_.end();) {
    next = now - next->second.last_used > kPlacementRetention
               ? placements_.erase(next)
               : std::next(next);
  }
}

}  // namespace gentian
