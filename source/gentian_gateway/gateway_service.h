#ifndef GENTIAN_GATEWAY_GATEWAY_SERVICE_H_
#define GENTIAN_GATEWAY_GATEWAY_SERVICE_H_

#include <string>

namespace gentian {

/** A service, which several targets provide. */
struct gateway_service {
  std::string name;
  /** Tokens that one event of a stream carries; 0 for a plain service. */
  int tokens_per_event = 0;
  /** Connections that one target accepts from all callers together. */
  int max_connections = 0;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_SERVICE_H_
