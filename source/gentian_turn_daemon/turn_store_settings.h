#ifndef GENTIAN_TURN_DAEMON_TURN_STORE_SETTINGS_H_
#define GENTIAN_TURN_DAEMON_TURN_STORE_SETTINGS_H_

#include <cstddef>
#include <map>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Settings of one turn store. */
struct turn_store_settings {
  std::string host;
  std::string failure_domain;
  /** Region of each failure domain. */
  std::map<std::string, std::string> regions{};
  /** For gateways, other turn stores and metrics, `ip:port`. */
  std::string address;
  std::string key_value_address;
  /** Exists already; on the host's disk. */
  std::string data_directory;
  /** The whole system starts for the first time, with empty disks. */
  bool first_start = false;
  /** Hosts with disks that may be lost at the same time. */
  std::size_t tolerated_losses = 1;
  /** Memory that the process may use, in bytes; 0 if it is not known. */
  std::size_t memory = 0;
  /** Time between the stop request and the forced end. */
  milliseconds stop_grace{8'000};
  /** Descriptors that the process may have open, besides those of its program
      files; 0 if it is not known. */
  std::size_t descriptors = 0;
};

}  // namespace gentian

#endif  // GENTIAN_TURN_DAEMON_TURN_STORE_SETTINGS_H_
