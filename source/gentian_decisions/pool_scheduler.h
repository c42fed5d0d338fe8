#ifndef GENTIAN_DECISIONS_POOL_SCHEDULER_H_
#define GENTIAN_DECISIONS_POOL_SCHEDULER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/engine_memory.h"
#include "gentian_decisions/fair_queue.h"
#include "gentian_decisions/retry_policy.h"
#include "gentian_decisions/scheduling_messages.h"
#include "gentian_decisions/speed_estimate.h"
#include "gentian_decisions/target_load_tracker.h"

namespace gentian {

/** The assignment of a call to a slot at a target. */
struct slot_decision {
  call_key key;
  work_item item;
  target_id target;
  /** Engine to copy the session's cache from before the call starts. */
  std::optional<target_id> import_from;
};

/** Queues the calls of one pool and assigns them to its targets.

    @see fair_queue, target_load_tracker
*/
class pool_scheduler {
 public:
  /** Maximum number of calls of one team that are considered for a slot. */
  static constexpr std::size_t kLookaheadPerTeam = 8;
  /** Bounded load: a target accepts calls while its load is below
      kLoadFactor × average load + kLoadSlack. */
  static constexpr double kLoadFactor = 1.25;
  static constexpr double kLoadSlack = 1;
  /** Timeout after which calls that their owner has not refreshed are dropped.
      Owners refresh every second, so three messages may be lost. */
  static constexpr milliseconds kRefreshTimeout{3'500};
  /** An assignment younger than this may be missing from a report of running
      calls, which may have been sent before the owner received it. */
  static constexpr milliseconds kAssignmentGracePeriod{1'000};
  /** Maximum time that a call waits for a better target while another one has
      a free slot. */
  static constexpr milliseconds kMaxTargetWait{2'000};
  /** A team whose queued and running calls exceed its share of the slots by
      this factor is restricted to its share of the targets. */
  static constexpr double kExcessFactor = 1.5;
  /** Time after its last call for which a team keeps its share of the targets.
      Programs pause between calls and would otherwise return to overloaded
      targets. */
  static constexpr milliseconds kActiveRetention{30'000};

  /** The references must outlive the scheduler. */
  pool_scheduler(pool_id pool,
                 const cluster_view& view,
                 const engine_memory& memory,
                 const retry_policy& retries)
      : pool_(std::move(pool)),
        view_(view),
        memory_(memory),
        retries_(retries) {}

  /** Adds a call to the queue, or refreshes it if it is queued or has a slot.
      @returns  its target if it already has a slot */
  std::optional<target_id> Submit(const call_key& key,
                                  const work_item& item,
                                  milliseconds waited,
                                  steady_time now);

  /** Removes a call from the queue or frees its slot.
      @returns  the call's slot, or nothing if it had none */
  std::optional<slot_holder> Depart(const call_key& key,
                                    pool_departure::reason why,
                                    const call_usage& usage,
                                    steady_time now);

  /** Replaces the set of calls of one owner that occupy slots. */
  void ReportRunning(const incarnation& owner,
                     const std::vector<running_call>& calls,
                     steady_time now);

  void ReportLoad(const target_load& load, steady_time now) {
    board_.ApplyReport(load, now);
  }

  /** Assigns slots to waiting calls.
      @param slot_divisor  this daemon uses 1 / `slot_divisor` of each target's
                           slots */
  std::vector<slot_decision> Assign(std::uint32_t slot_divisor,
                                    steady_time now);

  /** Drops calls that their owners no longer refresh, and expired state. */
  void DropStale(steady_time now);

  std::size_t queued() const { return queue_.size(); }
  std::size_t running() const { return board_.size(); }

 private:
  struct candidate {
    const target_settings* target = nullptr;
    std::size_t limit = 0;
    std::size_t in_flight = 0;
    double load = 0;
    double pending_prefill_tokens = 0;
  };
  struct choice {
    const candidate* target = nullptr;
    double cost_ms = 0;
    double uncached_tokens = 0;
    std::optional<target_id> import_from;
  };

  /** Targets that teams with excess demand may use; other teams are absent. */
  using target_restrictions = std::map<team_id, std::set<target_id>>;

  std::vector<candidate> Candidates(std::uint32_t slot_divisor,
                                    steady_time now) const;
  bool IsFree(const candidate& each) const;
  double UncachedTokens(const work_item& item, const target_id& target) const;
  choice EstimateCost(const work_item& item, const candidate& each) const;
  std::optional<choice> ChooseTarget(const queued_call& call,
                                     const std::vector<candidate>& all,
                                     const target_restrictions& restrictions,
                                     double bound,
                                     steady_time now) const;
  target_restrictions RestrictTeams(const std::vector<candidate>& all,
                                    std::uint32_t slot_divisor,
                                    steady_time now) const;
  void ChooseImportSource(const work_item& item, choice& chosen) const;
  double WeightOf(const team_id& team) const;

  pool_id pool_;
  const cluster_view& view_;
  const engine_memory& memory_;
  const retry_policy& retries_;
  fair_queue queue_;
  target_load_tracker board_;
  speed_estimate speed_;
  /** When a call of each team was last queued or ended. */
  std::map<team_id, steady_time> last_active_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_POOL_SCHEDULER_H_
