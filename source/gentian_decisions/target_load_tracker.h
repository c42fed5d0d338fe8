#ifndef GENTIAN_DECISIONS_TARGET_LOAD_TRACKER_H_
#define GENTIAN_DECISIONS_TARGET_LOAD_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "gentian_decisions/call_key.h"
#include "gentian_decisions/target_report.h"

namespace gentian {

/** A call that occupies a slot of a target. */
struct slot_holder {
  work_item item;
  target_id target;
  steady_time assigned;
  /** Time when the owner last reported that the call is running. */
  steady_time refreshed;
  /** Estimated prompt tokens that were not in the target's cache. */
  double uncached_tokens = 0;
  /** Tokens charged to the team when the slot was assigned. */
  double charged_tokens = 0;
};

/** Tracks the load of the targets of a pool: the calls in flight, and the last
    report of each target, adjusted by the calls sent and finished since.
*/
class target_load_tracker {
 public:
  /** Load reports older than this are ignored. */
  static constexpr milliseconds kReportLifetime{5'000};

  /** Records that a call occupies a slot. */
  void Occupy(const call_key& key, slot_holder holder);

  /** Frees the slot of a call.
      @returns  the holder of the slot, or nothing if the call had none */
  std::optional<slot_holder> Free(const call_key& key, steady_time now);

  /** Returns the holder for a call, or null if the call has no slot. */
  slot_holder* Find(const call_key& key);

  /** Applies a load report. A report measured before the newest one is
      ignored. */
  void ApplyReport(const target_load& load, steady_time now);

  /** Number of calls in flight that are tracked here for a target. */
  std::size_t InFlight(const target_id& target) const;

  /** Estimated number of calls at a target, including those of other
      schedulers. */
  double Load(const target_id& target, steady_time now) const;

  /** Estimated prompt tokens of the calls in flight that the target has yet to
      prefill, at a speed of `tokens_per_ms`. */
  double PendingPrefill(const target_id& target,
                        double tokens_per_ms,
                        steady_time now) const;

  /** Calls of an owner that hold slots. */
  std::vector<call_key> CallsOwnedBy(const incarnation& owner) const;

  /** Calls that their owner last reported before `limit`. */
  std::vector<call_key> CallsNotRefreshedSince(steady_time limit) const;

  /** Adds the number of calls in flight of each team that has any. */
  void CountByTeam(std::map<team_id, std::size_t>& counts) const;

  std::size_t size() const { return holders_.size(); }

 private:
  struct change {
    steady_time time;
    int difference = 0;
  };
  struct target_record {
    std::map<call_key, slot_holder> holders;
    /** Calls assigned (+1) and ended (-1) since the last report was measured.
     */
    std::deque<change> changes;
    std::optional<steady_time> measured;
    std::uint32_t reported = 0;
  };

  std::map<call_key, target_id> holders_;
  std::map<target_id, target_record> targets_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_TARGET_LOAD_TRACKER_H_
