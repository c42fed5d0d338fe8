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
#include "gentian_decisions/target_board.h"

namespace gentian {

/** A call that gets a slot. */
struct slot_decision {
  call_key key;
  work_item item;
  target_id target;
  /** Engine to copy the session's cache from before the call starts. */
  std::optional<target_id> import_from;
};

/** Queue, order and target choice of one pool.

    @see fair_queue, target_board
*/
class pool_scheduler {
 public:
  /** Calls of one team that are considered for a slot at the same time. */
  static constexpr std::size_t kLookaheadPerTeam = 8;
  /** Bounded load: a target takes work below factor × average + slack. */
  static constexpr double kLoadFactor = 1.25;
  static constexpr double kLoadSlack = 1;
  /** Owners repeat their calls every second; three may be lost. */
  static constexpr milliseconds kRefreshTimeout{3'500};
  /** A running report may have left before an assignment this recent. */
  static constexpr milliseconds kAssignmentGracePeriod{1'000};
  /** Longest time that a call waits for a better target while another has a
      free slot. */
  static constexpr milliseconds kMaxTargetWait{2'000};
  /** A team whose calls, queued and in flight, exceed its share of the slots
      by this factor is kept to its share of the targets. */
  static constexpr double kExcessFactor = 1.5;
  /** A team keeps its share of the targets for this long after its last call:
      programs pause between calls, and would return to crowded targets. */
  static constexpr milliseconds kActiveRetention{30'000};

  /** All references must outlive the scheduler. */
  pool_scheduler(pool_id pool,
                 const cluster_view& view,
                 const engine_memory& memory,
                 const retry_policy& retries)
      : pool_(std::move(pool)),
        view_(view),
        memory_(memory),
        retries_(retries) {}

  /** Adds a call to the queue, or notes that it still waits.
      @returns  its target if it has a slot already */
  std::optional<target_id> Submit(const call_key& key,
                                  const work_item& item,
                                  milliseconds waited,
                                  steady_time now);

  /** A call leaves the queue or frees its slot.
      @returns  what held the slot */
  std::optional<slot_holder> Depart(const call_key& key,
                                    pool_departure::reason why,
                                    const call_usage& usage,
                                    steady_time now);

  /** Takes over the calls of one owner that occupy slots. */
  void ReportRunning(const incarnation& owner,
                     const std::vector<running_call>& calls,
                     steady_time now);

  /** Takes over a load report of a target. */
  void ReportLoad(const target_load& load, steady_time now) {
    board_.Report(load, now);
  }

  /** Assigns slots to waiting calls.
      @param parts  this daemon uses one part in `parts` of the slots */
  std::vector<slot_decision> Assign(std::uint32_t parts, steady_time now);

  /** Drops calls of owners that have gone silent. */
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

  /** Targets that each team with excess demand may use. */
  using target_restrictions = std::map<team_id, std::set<target_id>>;

  std::vector<candidate> Candidates(std::uint32_t parts, steady_time now) const;
  bool IsFree(const candidate& each) const;
  double UncachedTokens(const work_item& item, const target_id& target) const;
  choice EstimateCost(const work_item& item, const candidate& each) const;
  std::optional<choice> ChooseTarget(const queued_call& call,
                                     const std::vector<candidate>& all,
                                     const target_restrictions& confined,
                                     double bound,
                                     steady_time now) const;
  target_restrictions RestrictTeams(const std::vector<candidate>& all,
                                    std::uint32_t parts,
                                    steady_time now) const;
  void ChooseImportSource(const work_item& item, choice& chosen) const;
  double WeightOf(const team_id& team) const;

  pool_id pool_;
  const cluster_view& view_;
  const engine_memory& memory_;
  const retry_policy& retries_;
  fair_queue queue_;
  target_board board_;
  speed_estimate speed_;
  /** When each team last had a call queued or in flight. */
  std::map<team_id, steady_time> last_active_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_POOL_SCHEDULER_H_
