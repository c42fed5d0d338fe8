#ifndef GENTIAN_GATEWAY_PLACEMENT_POLICY_H_
#define GENTIAN_GATEWAY_PLACEMENT_POLICY_H_

#include <map>
#include <string>
#include <vector>

#include "gentian_gateway/target_record.h"

namespace gentian {

/** Region of each failure domain. */
using region_table = std::map<std::string, std::string>;

/** Decides which targets and hosts may get the body of a request, by its homes:
    the regions in which it may be served. Without homes, all may. */
class placement_policy {
 public:
  /** Lets all targets and hosts have the body. */
  placement_policy() = default;

  /** Lists that are empty restrict nothing; if there are several others, all
      apply.

      @param regions     outlives the policy
      @param own_region  region of this gateway: its callers are there, unless
                         it is a home itself
      @param lists       lists of homes */
  placement_policy(const region_table& regions,
                   std::string own_region,
                   const std::vector<std::vector<std::string>>& lists);

  /** For homes that were decided before; an empty list allows no target. */
  placement_policy(const region_table& regions, std::vector<std::string> homes);

  bool has_homes() const { return has_homes_; }

  /** The regions that all lists have. Empty if there are no homes, or if the
      lists contradict each other; has_homes tells. */
  const std::vector<std::string>& homes() const { return homes_; }

  /** True if a target may run the request. A target whose failure domain has no
      region may not. */
  bool MayRun(const target_record& target) const {
    return !has_homes_ || IsHome(RegionOf(target.failure_domain));
  }

  /** True if another host, which carries or keeps the body, may get it. */
  bool MayHold(const std::string& failure_domain) const;

  /** True if a host is in a home; any host if there are no homes. */
  bool IsAtHome(const std::string& failure_domain) const {
    return !has_homes_ || IsHome(RegionOf(failure_domain));
  }

 private:
  bool IsHome(const std::string& region) const;
  std::string RegionOf(const std::string& failure_domain) const;

  const region_table* regions_ = nullptr;
  std::string own_region_;
  bool has_homes_ = false;
  std::vector<std::string> homes_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_PLACEMENT_POLICY_H_
