#ifndef GENTIAN_DECISIONS_RETRY_POLICY_H_
#define GENTIAN_DECISIONS_RETRY_POLICY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "gentian_decisions/event.h"
#include "gentian_decisions/node_context.h"

namespace gentian {

/** Which failure may be retried, when, and within which budget; which targets
    are ejected because they fail more than others.
*/
class retry_policy {
 public:
  /** Window of budgets and error rates. */
  static constexpr milliseconds kWindow{10'000};
  /** Retries per first attempt. */
  static constexpr double kRetriesPerFirstAttempt = 0.1;
  /** Retries allowed on top, so that a quiet team can retry at all. */
  static constexpr double kMinRetries = 3;
  static constexpr milliseconds kBackoffBase{50};
  static constexpr milliseconds kBackoffCap{2'000};
  /** Attempts of one call, the first included. */
  static constexpr int kMaxAttempts = 4;
  static constexpr int kMaxConsecutiveFailures = 5;
  static constexpr double kMaxErrorRate = 0.5;
  /** Outcomes below which an error rate means nothing. */
  static constexpr std::size_t kMinOutcomes = 10;
  static constexpr milliseconds kMinEjectionTime{5'000};
  static constexpr milliseconds kMaxEjectionTime{60'000};

  /** Counts a dispatch that is not a retry. */
  void RecordFirstAttempt(const team_id& team,
                          const target_id& target,
                          steady_time now);

  /** Decides whether a failed call may be tried again.

      @param attempts    how often it has been dispatched
      @param repeatable  false if running twice is not allowed
      @returns           the delay before the next attempt, or nothing
  */
  std::optional<milliseconds> Decide(const team_id& team,
                                     const target_id& target,
                                     target_failure failure,
                                     int attempts,
                                     bool repeatable,
                                     node_context& context);

  /** Records how a dispatch ended, for ejection.

      @param pool_size  targets in the pool; at most half are ejected
  */
  void RecordOutcome(const target_id& target,
                     const pool_id& pool,
                     std::size_t pool_size,
                     bool ok,
                     steady_time now);

  /** True while a target gets no work because it failed too often. */
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
