#ifndef GENTIAN_GATEWAY_GATEWAY_DIRECTORY_H_
#define GENTIAN_GATEWAY_GATEWAY_DIRECTORY_H_

#include <string>
#include <vector>

namespace gentian {

/** A gateway that the directory may name. */
struct named_gateway {
  std::string address;
  /** Empty if it is not known. */
  std::string region;
};

/** The addresses of the gateways to which a caller may send requests with
    homes: those in a home, or in the caller's region.

    A host name may have routes with different homes, and the directory doesn't
    know which one the caller uses. Gateways in homes of all the routes come
    before those in homes of some; without either, all are named.

    @param lists          the homes of each route that has some; empty for no
                          restriction
    @param caller_region  empty if it is not known */
std::vector<std::string> AddressesFor(
    const std::vector<named_gateway>& gateways,
    const std::vector<std::vector<std::string>>& lists,
    const std::string& caller_region);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_DIRECTORY_H_
