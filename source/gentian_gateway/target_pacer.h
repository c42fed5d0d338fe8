#ifndef GENTIAN_GATEWAY_TARGET_PACER_H_
#define GENTIAN_GATEWAY_TARGET_PACER_H_

#include <functional>
#include <map>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Reserves times at which requests may be sent to targets that limit their
    rate (generic cell rate algorithm). One gateway does so for a target, for
    the requests of all gateways.
*/
class target_pacer {
 public:
  struct request {
    std::string target;
    /** Requests per second that the target takes. */
    double rate = 0;
    /** Longest time that the sender would wait. */
    duration max_wait{};
    /** Nothing is reserved before this time if this gateway has just begun to
        pace the target. */
    steady_time earliest;
    /** Time whose requests may be sent at once after a pause. */
    duration burst = milliseconds(500);
  };

  struct reservation {
    /** False if the wait is longer than the sender accepts. */
    bool made = false;
    /** Time until the request may be sent, or until it could be. */
    duration wait{};
  };

  reservation Reserve(const request& subject, steady_time now);

  /** Forgets a target that has no limit any more. */
  void Remove(const std::string& target) { next_.erase(target); }

  /** Forgets the targets that this gateway no longer paces, so that it starts
      anew if it paces them again. */
  void Retain(const std::function<bool(const std::string& target)>& is_paced);

 private:
  void EvictIdle(steady_time now);

  /** By target: when the next request is due if all are evenly spaced. */
  std::map<std::string, steady_time> next_;
  steady_time last_eviction_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_PACER_H_
