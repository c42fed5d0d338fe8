#include "gentian_gateway/gateway_directory.h"

#include <algorithm>

namespace gentian {

namespace {

template <typename Condition>
std::vector<std::string> AddressesIf(const std::vector<named_gateway>& gateways,
                                     Condition condition) {
  std::vector<std::string> addresses;
  for (const named_gateway& gateway : gateways) {
    if (condition(gateway.region)) {
      addresses.push_back(gateway.address);
    }
  }
  return addresses;
}

}  // namespace

std::vector<std::string> AddressesFor(
    const std::vector<named_gateway>& gateways,
    const std::vector<std::vector<std::string>>& lists,
    const std::string& caller_region) {
  const auto is_at_caller = [&](const std::string& region) {
    return !region.empty() && region == caller_region;
  };
  const auto has = [](const std::string& region) {
    return [&region](const std::vector<std::string>& list) {
      return !region.empty() &&
             std::find(list.begin(), list.end(), region) != list.end();
    };
  };
  // Without lists, every gateway is in all of them.
  std::vector<std::string> addresses =
      AddressesIf(gateways, [&](const std::string& region) {
        return is_at_caller(region) ||
               std::all_of(lists.begin(), lists.end(), has(region));
      });
  if (addresses.empty()) {
    addresses = AddressesIf(gateways, [&](const std::string& region) {
      return std::any_of(lists.begin(), lists.end(), has(region));
    });
  }
  if (addresses.empty()) {
    addresses = AddressesIf(gateways, [](const std::string&) { return true; });
  }
  return addresses;
}

}  // namespace gentian
