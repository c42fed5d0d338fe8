#ifndef GENTIAN_GATEWAY_ALLOWANCE_METER_H_
#define GENTIAN_GATEWAY_ALLOWANCE_METER_H_

#include <map>
#include <optional>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/gateway_team.h"

namespace gentian {

/** Keeps each team within this daemon's part of its allowance.

    The holders of a team have equal parts of its rate and burst. A daemon whose
    lease may have ended serves nothing, so the parts of those that serve never
    add up to more than the whole.

    @see allowance_holders
*/
class allowance_meter {
 public:
  /** Requests by which all parts together exceed the burst. */
  static constexpr double kMaxTotalExtraBurst = 14;

  /** Takes the right to run one request.

      @param parts  holders of the team's allowance, at least one
      @returns  nothing if the request may run, else the time after which a
                request of the team is within the allowance again */
  std::optional<milliseconds> Take(const gateway_team& team,
                                   std::size_t parts,
                                   steady_time now);

  /** Returns the right of a request that has not run. */
  void Refund(const gateway_team& team, std::size_t parts);

 private:
  struct bucket {
    double tokens = 0;
    steady_time refilled_at;
  };

  std::map<std::string, bucket> buckets_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_ALLOWANCE_METER_H_
