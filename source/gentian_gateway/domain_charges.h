#ifndef GENTIAN_GATEWAY_DOMAIN_CHARGES_H_
#define GENTIAN_GATEWAY_DOMAIN_CHARGES_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What sending one request to a target costs, by the failure domain of the
    target. Charges are times, to be added to the expected completion of the
    request at that target. */
struct domain_charges {
  std::string own_domain;
  /** The other domain to which the request may leave at the price; empty if it
      is meant to stay. */
  std::string destination;
  duration price{};
  /** Charge for all other domains: they are used if the targets in the own
      domain end the request later by this much, or not at all. */
  duration unplanned{};
  /** Time that a request of the service usually takes; 0 if it is not known. */
  duration request_time{};

  duration ChargeFor(const std::string& domain) const;

  /** The preference of a target where no expected completion exists: the charge
      and the wait for a free slot, in usual times of a request. Smaller is
      better; targets with free slots in one domain are equal.

      @param load  requests running and waiting at the target, relative to its
                   slots */
  double CostOf(const std::string& domain, double load) const;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DOMAIN_CHARGES_H_
