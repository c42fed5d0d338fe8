#ifndef GENTIAN_GATEWAY_GATEWAY_SERVICE_H_
#define GENTIAN_GATEWAY_GATEWAY_SERVICE_H_

#include <cstdint>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** A service, which several targets provide. */
struct gateway_service {
  std::string name;
  /** Tokens that one event of a stream carries; 0 for a plain service. */
  int tokens_per_event = 0;
  /** Connections that one target accepts from all callers together. */
  int max_connections = 0;
  /** Tokens of prompts and output that one target can hold; 0 if it is not
      known. */
  std::int64_t memory_tokens = 0;
  /** Time for which a target is cold after its start. */
  milliseconds cold_time{0};
  /** Requests per second that a cold target takes from all gateways together; 0
      for no limit. */
  double cold_rate = 0;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_SERVICE_H_
