#ifndef GENTIAN_DECISIONS_NODE_IDENTITY_H_
#define GENTIAN_DECISIONS_NODE_IDENTITY_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What a daemon knows about itself from its settings. */
struct node_identity {
  host_id host;
  failure_domain_id failure_domain;
  /** `ip:port` for links between daemons. */
  std::string peer_address;
  /** `ip:port` that callers connect to. */
  std::string caller_address;
  /** True if the host has a data folder. */
  bool has_data_folder = false;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_NODE_IDENTITY_H_
