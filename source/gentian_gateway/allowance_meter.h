#ifndef GENTIAN_GATEWAY_ALLOWANCE_METER_H_
#define GENTIAN_GATEWAY_ALLOWANCE_METER_H_

#include <map>
#include <optional>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/gateway_team.h"

namespace gentian {

/** A token bucket for each team, for this daemon's share of the allowance.

    The holders of a team have equal shares of its rate and burst. A daemon
   whose lease may have expired serves nothing, so the shares of the serving
   daemons never add up to more than the allowance.

    @see allowance_holders
*/
class allowance_meter {
 public:
  /** Requests by which the bursts of all shares together may exceed the team's
      burst. */
  static constexpr double kMaxTotalExtraBurst = 14;

  struct reservation {
    /** False if the wait is longer than the request may take. */
    bool made = false;
    /** Time until the request may run, or until it could. */
    milliseconds wait{0};
  };

  /** Takes a token for one request.

      @param holder_count  holders of the team's allowance, at least one
      @returns  nothing if the request may run, otherwise the delay after which
                a request of the team is within the allowance again */
  std::optional<milliseconds> Take(const gateway_team& team,
                                   std::size_t holder_count,
                                   steady_time now);

  /** Takes a token that may only become available later.

      @param max_wait  longest time that the request may wait for it */
  reservation Reserve(const gateway_team& team,
                      std::size_t holder_count,
                      milliseconds max_wait,
                      steady_time now);

  /** Returns the token of a request that has not run. */
  void Refund(const gateway_team& team, std::size_t holder_count);

 private:
  struct bucket {
    double tokens = 0;
    steady_time refilled_at;
  };

  std::map<std::string, bucket> buckets_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_ALLOWANCE_METER_H_
