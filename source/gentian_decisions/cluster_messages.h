#ifndef GENTIAN_DECISIONS_CLUSTER_MESSAGES_H_
#define GENTIAN_DECISIONS_CLUSTER_MESSAGES_H_

#include <cstdint>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Sent on every link between daemons once a second. */
struct heartbeat {
  static constexpr const char* kType = "heartbeat";

  std::uint64_t config_version = 0;
  /** True if the sender takes no new sessions. */
  bool draining = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(heartbeat, config_version, draining)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CLUSTER_MESSAGES_H_
