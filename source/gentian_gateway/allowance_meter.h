#ifndef GENTIAN_GATEWAY_ALLOWANCE_METER_H_
#define GENTIAN_GATEWAY_ALLOWANCE_METER_H_

#include <map>
#include <optional>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/gateway_team.h"

namespace gentian {

/** Keeps each team within its allowance across all daemons.

    Every daemon that holds a membership lease has an equal part of each team's
    rate and burst. A daemon whose lease may have ended serves nothing, so the
    parts of those that serve never add up to more than the whole.
*/
class allowance_meter {
 public:
  /** Sets how many daemons the allowances are divided among. */
  void SetMembers(std::size_t count) { members_ = count > 0 ? count : 1; }

  /** Takes the right to run one request.

      @returns  nothing if the request may run, else the time after which a
                request of the team is within the allowance again */
  std::optional<milliseconds> Take(const gateway_team& team, steady_time now);

  /** Returns the right of a request that has not run. */
  void Return(const gateway_team& team);

 private:
  struct bucket {
    double level = 0;
    steady_time filled_at;
  };

  double Depth(const gateway_team& team) const;

  std::size_t members_ = 1;
  std::map<std::string, bucket> buckets_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_ALLOWANCE_METER_H_
