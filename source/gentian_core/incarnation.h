#ifndef GENTIAN_CORE_INCARNATION_H_
#define GENTIAN_CORE_INCARNATION_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "gentian_core/identifiers.h"

namespace gentian {

/** One run of a daemon process on a host. The epoch grows at each start. */
struct incarnation {
  host_id host;
  std::uint64_t epoch = 0;

  /** Readable form: `host-epoch`. */
  std::string ToString() const {
    return host.text() + "-" + std::to_string(epoch);
  }

  friend bool operator==(const incarnation& a, const incarnation& b) {
    return a.epoch == b.epoch && a.host == b.host;
  }
  friend bool operator!=(const incarnation& a, const incarnation& b) {
    return !(a == b);
  }
  friend bool operator<(const incarnation& a, const incarnation& b) {
    return std::tie(a.host, a.epoch) < std::tie(b.host, b.epoch);
  }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(incarnation, host, epoch)

}  // namespace gentian

#endif  // GENTIAN_CORE_INCARNATION_H_
