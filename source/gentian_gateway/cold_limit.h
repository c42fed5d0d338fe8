#ifndef GENTIAN_GATEWAY_COLD_LIMIT_H_
#define GENTIAN_GATEWAY_COLD_LIMIT_H_

#include <map>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/gateway_configuration.h"

namespace gentian {

/** How requests to the cold targets of a service are paced. */
struct cold_limit {
  /** Requests per second that are granted; 0 for no limit. */
  double rate = 0;
  /** Longest time for which a statement of a target is believed. */
  milliseconds max_time{0};
  /** Time whose requests may be sent at once after a pause. */
  duration burst{0};

  bool IsSet() const { return rate > 0; }
};

/** The limit of a service; not set if the service has no rate for cold targets.

    Rate and burst keep any one second within the bound, which is the rate of
    the service times the factor plus the slack, although permits are used up to
    0.45 s after they were granted. */
cold_limit ColdLimitOf(const gateway_service& service,
                       double factor,
                       double slack);

/** The limits of the services that have one, by name. */
std::map<std::string, cold_limit> ColdLimitsOf(
    const gateway_configuration& configuration,
    double factor,
    double slack);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_COLD_LIMIT_H_
