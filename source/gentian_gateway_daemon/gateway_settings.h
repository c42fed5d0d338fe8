#ifndef GENTIAN_GATEWAY_DAEMON_GATEWAY_SETTINGS_H_
#define GENTIAN_GATEWAY_DAEMON_GATEWAY_SETTINGS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/domain_routers.h"

namespace gentian {

/** Settings of one gateway daemon. Addresses are `ip:port`; an empty one is
    not listened on. */
struct gateway_settings {
  std::string host;
  std::string failure_domain;
  std::string region;
  /** Region of each failure domain. */
  std::map<std::string, std::string> regions;
  std::string caller_address;
  std::string readiness_address;
  std::string directory_address;
  /** For other daemons, and for metrics. */
  std::string peer_address;
  /** For tunnels of other daemons to targets. */
  std::string tunnel_address;
  std::string key_value_address;
  /** Hosts with disks that may be lost at the same time. */
  std::size_t tolerated_losses = 1;
  /** Maximum time for which a withdrawn key is still accepted. */
  milliseconds withdrawal_bound{5'000};
  /** Maximum time until a change of the configuration applies. */
  milliseconds configuration_bound{2'000};
  /** Maximum time for which a target that drains still gets requests. */
  milliseconds drain_bound{2'000};
  /** Maximum time for which targets of an evacuated failure domain still get
      requests. */
  milliseconds evacuation_bound{5'000};
  /** Time without a disturbance after which the platform counts the fleet as
      stable. The directory names no gateway that ended longer than this and 3 s
      ago; nothing if the platform sets no such bound. */
  std::optional<milliseconds> stable_window{};
  /** Requests of one second that a cold target takes at most: its rate times
      the factor, plus the slack. */
  double cold_factor = 1.5;
  double cold_slack = 5;
  /** Memory that the process may use, in bytes; 0 if it is not known. */
  std::size_t memory = 0;
  /** Descriptors that the process may have open, besides those of its program
      files; 0 if it is not known. */
  std::size_t descriptors = 0;
  /** Time between the stop request and the forced end. */
  milliseconds stop_grace{8'000};
  /** From the command line. */
  domain_options domains{};
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_GATEWAY_SETTINGS_H_
