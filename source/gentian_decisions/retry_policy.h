#ifndef GENTIAN_DECISIONS_RETRY_POLICY_H_
#define GENTIAN_DECISIONS_RETRY_POLICY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "gentian_decisions/event.h"
#include "gentian_decisions/node_context.h"

namespace gentian {

/** Decides whether and when a failed call is retried, and ejects failing
    targets.

    Retries count against the budgets of the team and of the target. An ejected
    target gets no calls for a time that doubles with each ejection.
*/
class retry_policy {
 public:
  /** Sliding window of the retry budgets and the error rates. */
  static constexpr milliseconds kWindow{10'000};
  /** Retries that each first attempt in the window allows. */
  static constexpr double kRetriesPerFirstAttempt = 0.1;
  /** Retries allowed in addition, so that a team with few calls can retry. */
  static constexpr double kMinRetries = 3;
  static constexpr milliseconds kBackoffBase{50};
  static constexpr milliseconds kBackoffCap{2'000};
  /** Attempts of one call, including the first. */
  static constexpr int kMaxAttempts = 4;
  static constexpr int kMaxConsecutiveFailures = 5;
  static constexpr double kMaxErrorRate = 0.5;
  /** Outcomes in the window before the error rate can eject a target. */
  static constexpr std::size_t kMinOutcomes = 10;
  static constexpr milliseconds kMinEjectionTime{5'000};
  static constexpr milliseconds kMaxEjectionTime{60'000};

  /** Counts a first attempt in the budgets of its team and target. */
  void RecordFirstAttempt(const team_id& team,
                          const target_id& target,
                          steady_time now);

  /** Decides whether a failed call may be tried again.

      @param attempts    number of dispatches so far
      @param repeatable  false if the call must not run twice
      @returns           the delay before the next attempt; nothing if the
                         call must not be retried
  */
  std::optional<milliseconds> Decide(const team_id& team,
                                     const target_id& target,
                                     target_failure failure,
                                     int attempts,
                                     bool repeatable,
                                     node_context& context);

  /** Records the outcome of a dispatch; ejects the target if it fails too
      often.

      @param pool_size  number of targets in the pool; at most half of them are
                        ejected at a time
  */
  void RecordOutcome(const target_id& target,
                     const pool_id& pool,
                     std::size_t pool_size,
                     bool ok,
                     steady_time now);

  /** True while the target is ejected and must get no calls. */
  bool IsEjected(const target_id& target, steady_time now) const;

 private:
  struct budget {
    std::deque<steady_time> first_attempts;
    std::deque<steady_time> retries;

    void Trim(steady_time now);
    bool Allows(steady_time now);
  };
  struct outcome {
    steady_time time;
    bool ok = false;
  };
  struct target_record {
    pool_id pool;
    std::deque<outcome> outcomes;
    std::size_t errors = 0;
    int consecutive_failures = 0;
    steady_time ejected_until;
    milliseconds next_ejection_time = kMinEjectionTime;
  };

  void Eject(target_record& record, std::size_t pool_size, steady_time now);

  std::map<team_id, budget> teams_;
  std::map<target_id, budget> targets_;
  std::map<target_id, target_record> records_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_RETRY_POLICY_H_
