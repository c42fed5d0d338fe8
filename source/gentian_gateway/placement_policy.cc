#include "gentian_gateway/placement_policy.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

bool Has(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace

placement_policy::placement_policy(
    const region_table& regions,
    std::string own_region,
    const std::vector<std::vector<std::string>>& lists)
    : regions_(&regions), own_region_(std::move(own_region)) {
  for (const std::vector<std::string>& list : lists) {
    if (list.empty()) {
      continue;
    }
    if (!std::exchange(has_homes_, true)) {
      homes_ = list;
      continue;
    }
    homes_.erase(std::remove_if(homes_.begin(), homes_.end(),
                                [&list](const std::string& region) {
                                  return !Has(list, region);
                                }),
                 homes_.end());
  }
}

placement_policy::placement_policy(const region_table& regions,
                                   std::vector<std::string> homes)
    : regions_(&regions), has_homes_(true), homes_(std::move(homes)) {}

// A domain without a region is in no home, whatever the lists name.
bool placement_policy::IsHome(const std::string& region) const {
  return !region.empty() && Has(homes_, region);
}

std::string placement_policy::RegionOf(
    const std::string& failure_domain) const {
  const auto found = regions_->find(failure_domain);
  return found == regions_->end() ? std::string() : found->second;
}

bool placement_policy::MayHold(const std::string& failure_domain) const {
  if (!has_homes_) {
    return true;
  }
  const std::string region = RegionOf(failure_domain);
  return IsHome(region) || (!region.empty() && region == own_region_);
}

}  // namespace gentian
