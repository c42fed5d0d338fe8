#ifndef GENTIAN_GATEWAY_CRASH_HISTORY_H_
#define GENTIAN_GATEWAY_CRASH_HISTORY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gentian_gateway/target_crash.h"

namespace gentian {

/** Remembers, by request fingerprint, the targets that ended while they ran the
    request, in order to tell a request that crashes targets from those that
    were only running there.

    Crashes count if each one's request was sent after the crash before it, and
    if nothing shows that the target lives on. An answer clears the crashes
    before it. The others are kept for 15 minutes.
*/
class crash_history {
 public:
  /** Tells whether a target has answered a request after a crash. */
  using answered_since = std::function<bool(const target_crash&)>;

  /** Records a crash; one that is known already changes nothing. */
  void Add(const std::string& fingerprint,
           const target_crash& crash,
           steady_time now);

  /** Records that a target has answered the request.

      @returns  true if the request was a suspect */
  bool AddAnswer(const std::string& fingerprint, steady_time answered_at);

  /** True if a target ended while it ran the request. */
  bool IsSuspect(const std::string& fingerprint) const {
    return suspects_.count(fingerprint) > 0;
  }

  std::vector<target_crash> CrashesOf(const std::string& fingerprint) const;

  /** True if the request has ended too many targets, one after the other:
      three, or two if the service has three targets or fewer. One that had sent
      a part of the answer counts half. An origin is over the limit only if
      requests of different contents have ended targets. */
  bool IsOverLimit(const std::string& fingerprint,
                   const answered_since& answered) const;

 private:
  struct suspect {
    /** In the order in which the targets ended. */
    std::vector<target_crash> crashes;
    steady_time last_added;
  };

  void EvictOld(steady_time now);

  std::map<std::string, suspect> suspects_;
  steady_time last_eviction_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_CRASH_HISTORY_H_
