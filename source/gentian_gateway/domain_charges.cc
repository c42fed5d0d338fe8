#include "gentian_gateway/domain_charges.h"

#include <algorithm>

namespace gentian {

namespace {

// Load from which a further request is expected to wait for a slot: other
// gateways send requests that the report does not contain yet.
constexpr double kNoWaitLoad = 0.75;
// Used until the time of a request is known.
constexpr milliseconds kDefaultRequestTime{200};

}  // namespace

duration domain_charges::ChargeFor(const std::string& domain) const {
  if (domain == own_domain) {
    return duration(0);
  }
  return !destination.empty() && domain == destination ? price : unplanned;
}

double domain_charges::CostOf(const std::string& domain, double load) const {
  const duration usual =
      request_time > duration(0) ? request_time : duration(kDefaultRequestTime);
  // Loads of single targets are known too badly to decide again what the share
  // of the domain was decided on, so a request that may leave prefers to.
  duration charge = ChargeFor(domain);
  if (!destination.empty() && domain == destination) {
    charge = duration(0);
  } else if (!destination.empty() && domain == own_domain) {
    charge = price;
  }
  return ToSeconds(charge) / ToSeconds(usual) +
         std::max(0.0, load - kNoWaitLoad);
}

}  // namespace gentian
