#ifndef GENTIAN_GATEWAY_DOMAIN_LOADS_H_
#define GENTIAN_GATEWAY_DOMAIN_LOADS_H_

#include <functional>
#include <map>
#include <string>

#include "gentian_gateway/domain_router.h"
#include "gentian_gateway/target_table.h"

namespace gentian {

/** How the targets of a service count for the load of their domains. */
struct target_weights {
  /** True if requests may be sent to the target. */
  std::function<bool(const known_target&)> is_usable;
  /** Speed of the target relative to the others of its service, as learned. */
  std::function<double(const known_target&)> speed;
};

/** Weights of targets of which nothing was learned: all are equally fast, and
    those that fail or have no room are not usable. */
target_weights PlainWeights(steady_time now);

/** The pace of a target at a time: that of the last report, which loses its
    meaning within a few seconds; 1 without a report. */
double PaceOf(const known_target& target, steady_time now);

/** True if a target of the service has reported its pace. */
bool ReportsPace(const target_table& targets, const std::string& service);

/** The load of each failure domain with usable targets of a service. Targets
    without a recent report count as loaded as those of their domain that have
    one. The number of gateways is 1. */
std::map<std::string, domain_load> LoadsByDomain(const target_table& targets,
                                                 const std::string& service,
                                                 const target_weights& weights,
                                                 steady_time now);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DOMAIN_LOADS_H_
