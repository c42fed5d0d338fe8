#ifndef GENTIAN_GATEWAY_TARGET_LIMIT_H_
#define GENTIAN_GATEWAY_TARGET_LIMIT_H_

#include <optional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What a target last said about the requests that it takes. */
struct target_limit {
  /** Requests per second from all gateways together; nothing if it takes any
      number. */
  std::optional<double> rate;
  /** When the target said so. */
  steady_time at;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_LIMIT_H_
