#ifndef GENTIAN_GATEWAY_TURN_SCHEDULER_H_
#define GENTIAN_GATEWAY_TURN_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentian_gateway/domain_charges.h"
#include "gentian_gateway/target_table.h"

namespace gentian {

/** Identifies one turn of a program at the daemon that owns the program. */
using turn_ticket = std::uint64_t;

/** A turn that waits for a target. */
struct waiting_turn {
  turn_ticket ticket = 0;
  std::string program;
  std::string service;
  /** 0 is the most urgent. */
  int priority = 0;
  /** When the whole program should be finished. */
  steady_time finish_by;
  /** When the caller's request times out. */
  steady_time deadline;
  /** When the turn is refused if it has not started. */
  steady_time reject_at;
  /** The program has used far more tokens than programs commonly do, so its
      turns go last. */
  bool is_excessive = false;
  /** Failure domain of the daemon that sends the turn; empty if it is not
      known. */
  std::string failure_domain{};
  /** Regions in which the turn may run; empty for any. */
  std::vector<std::string> homes{};
  /** Tells whether a target is in a home; null for any. */
  std::function<bool(const target_record&)> may_run = nullptr;
};

/** The decision on a waiting turn. */
struct turn_decision {
  turn_ticket ticket = 0;
  /** False if the turn has waited for too long. */
  bool admitted = false;
  /** The target to use first. */
  std::string target;
};

/** The rate of events that a turn received. */
struct turn_sample {
  std::string target;
  /** Average time between two events. */
  duration event_interval{};
};

/** Decides when the turns of this daemon's programs may start, and on which
    engine.

    Engines slow down as they run more turns concurrently, and admit turns in
    the order of arrival. Beyond the number of turns that still raises
    throughput, turns are queued here instead, and those of urgent programs that
    can still finish in time are admitted first. That limit adapts to how much
    slower events arrive than from an idle engine. A program stays on one
    engine, which has its prompt cached, unless that engine is much busier than
    others. An engine with a limit gets an equal share of it from each daemon,
    more only if all engines have had theirs.
*/
class turn_scheduler {
 public:
  explicit turn_scheduler(const target_table& targets) : targets_(targets) {}

  /** Sets how many daemons share the targets. */
  void SetDaemonCount(std::size_t count) {
    daemon_count_ = count > 0 ? count : 1;
  }

  /** Sets what gives the charges for a turn; nothing where domains don't
      count. */
  void SetCharges(
      std::function<std::optional<domain_charges>(const waiting_turn& turn,
                                                  steady_time now)> charges) {
    charges_ = std::move(charges);
  }

  void Add(const waiting_turn& turn);

  /** Turns that may start now, and those that have waited for too long. */
  std::vector<turn_decision> Advance(steady_time now);

  /** Removes a turn, whether it waits or runs. */
  void Remove(turn_ticket ticket);

  /** Adjusts the limit by a measurement of a turn that has ended. */
  void AddSample(const std::string& service, const turn_sample& sample);

  std::size_t waiting() const { return waiting_.size(); }
  std::size_t running() const { return running_.size(); }

  /** Turns of a service that may run at once; for metrics. */
  double ConcurrencyLimit(const std::string& service) const;

 private:
  struct running_turn {
    std::string service;
    std::string target;
    steady_time started_at;
    steady_time deadline;
  };
  struct target_speed {
    /** Interval between events when the target was least busy. */
    double idle_interval_s = 0;
  };
  struct pool {
    /** Turns that one target should run at once. */
    double turns_per_target = 0;
    /** Smoothed ratio of intervals to those of an idle target. */
    double slowdown = 1;
  };
  struct placement {
    std::string target;
    steady_time last_used;
  };

  pool& PoolOf(const std::string& service);
  std::string ChooseTarget(const waiting_turn& turn, steady_time now);
  double TurnsAt(const known_target& target, steady_time now) const;
  double EstimatedLoad(const known_target& target, steady_time now) const;
  /** True if the targets in a turn's homes can take one more turn. */
  bool HasRoomInHomes(const waiting_turn& turn) const;
  bool MayGetTurn(const known_target& target, steady_time now) const;
  void Pace(const known_target& target, steady_time now);
  void RemoveExpired(steady_time now);
  void EvictIdlePlacements(steady_time now);

  const target_table& targets_;
  std::function<std::optional<domain_charges>(const waiting_turn& turn,
                                              steady_time now)>
      charges_;
  std::size_t daemon_count_ = 1;
  std::vector<waiting_turn> waiting_;
  std::map<turn_ticket, running_turn> running_;
  std::map<std::string, std::size_t> running_by_service_;
  std::map<std::string, pool> pools_;
  std::map<std::string, target_speed> speeds_;
  std::map<std::string, placement> placements_;
  /** By target with a limit: until when it has got this daemon's share. */
  std::map<std::string, steady_time> share_used_until_;
  steady_time last_eviction_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TURN_SCHEDULER_H_
