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
  /** When the owner last reported that the call runs. */
  steady_time refreshed;
  /** Prompt tokens that the target had to compute, as estimated. */
  double uncached_tokens = 0;
  /** Tokens charged to the team at the assignment. */
  double charged_tokens = 0;
};

/** Load of the targets of a pool: calls in flight, and the last report of each
    target corrected by what was sent and finished since.
*/
class target_load_tracker {
 public:
  /** A report older than this is not used. */
  static constexpr milliseconds kReportLifetime{5'000};

  /** Records that a call occupies a slot. */
  void Occupy(const call_key& key, slot_holder holder);

  /** Frees the slot of a call.
      @returns  what held it, or nothing if it held none */
  std::optional<slot_holder> Free(const call_key& key, steady_time now);

  /** The slot of a call, or nothing. */
  slot_holder* Find(const call_key& key);

  /** Takes over a load report. Reports that measured earlier than the newest
      one are ignored. */
  void ApplyReport(const target_load& load, steady_time now);

  /** Calls in flight at a target that this board assigned or was told of. */
  std::size_t InFlight(const target_id& target) const;

  /** Estimated calls at a target, those of other schedulers included. */
  double Load(const target_id& target, steady_time now) const;

  /** Tokens that calls in flight still have to prefill at a target, if it
      computes `tokens_per_ms`. */
  double PendingPrefill(const target_id& target,
                        double tokens_per_ms,
                        steady_time now) const;

  /** Calls of an owner that occupy slots. */
  std::vector<call_key> CallsOwnedBy(const incarnation& owner) const;

  /** Calls whose owner has not reported them since a time. */
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
    /** Assignments and ends after the report's measurement. */
    std::deque<change> changes;
    std::optional<steady_time> measured;
    std::uint32_t reported = 0;
  };

  std::map<call_key, target_id> holders_;
  std::map<target_id, target_record> targets_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_TARGET_LOAD_TRACKER_H_
