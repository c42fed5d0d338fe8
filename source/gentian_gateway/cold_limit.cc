#include "gentian_gateway/cold_limit.h"

#include <algorithm>
#include <cmath>

namespace gentian {

namespace {

// Time between the grant of a permit and the arrival of the request: 200 ms for
// the answer of the pacer and 250 ms for the connection to the target, which
// are the timeouts of both.
constexpr milliseconds kMaxPermitDelay{450};
constexpr milliseconds kMaxBurst{500};
// For services that have no cold time.
constexpr milliseconds kDefaultMaxTime{10'000};
// Bounds a configured time, so that it can be added to a time of the clock.
constexpr milliseconds kMostMaxTime{3'600'000};

}  // namespace

cold_limit ColdLimitOf(const gateway_service& service,
                       double factor,
                       double slack) {
  cold_limit limit;
  if (!(service.cold_rate > 0)) {
    return limit;
  }
  limit.max_time = service.cold_time.count() > 0
                       ? std::min(service.cold_time, kMostMaxTime)
                       : kDefaultMaxTime;
  // Requests that are evenly spaced by 1 / rate, with the burst, number at most
  // rate x (span + burst) + 1 in any span. Permits that arrive in one second
  // were granted within one second and the delay.
  const double most =
      std::max(1.0, std::floor(service.cold_rate * factor + slack) - 1);
  const double span = 1 + ToSeconds(kMaxPermitDelay);
  limit.rate = std::min(service.cold_rate, most / span);
  limit.burst = FromSeconds(
      std::clamp(most / limit.rate - span, 0.0, ToSeconds(kMaxBurst)));
  return limit;
}

std::map<std::string, cold_limit> ColdLimitsOf(
    const gateway_configuration& configuration,
    double factor,
    double slack) {
  std::map<std::string, cold_limit> limits;
  for (const gateway_service& service : configuration.content().services) {
    const cold_limit limit = ColdLimitOf(service, factor, slack);
    if (limit.IsSet()) {
      limits[service.name] = limit;
    }
  }
  return limits;
}

}  // namespace gentian
