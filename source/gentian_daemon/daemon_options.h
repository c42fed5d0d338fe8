#ifndef GENTIAN_DAEMON_DAEMON_OPTIONS_H_
#define GENTIAN_DAEMON_DAEMON_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_net/tls_context.h"

namespace gentian {

/** Another daemon that this one links to at its start. */
struct peer_address {
  host_id host;
  /** `ip:port` of its peer interface. */
  std::string address;
};

/** What a daemon knows from its own settings file. Everything else is in the
    configuration that the fleet shares.
*/
struct daemon_options {
  host_id host;
  failure_domain_id failure_domain;
  /** `ip:port` to listen on for callers; port 0 picks a free one. */
  std::string caller_address = "127.0.0.1:0";
  /** `ip:port` to listen on for other daemons. */
  std::string peer_address = "127.0.0.1:0";
  /** `ip:port` to listen on for operators; empty for none. */
  std::string admin_address;
  /** Name of each operator by the SHA-256 of their key. */
  std::map<std::string, std::string> operators_by_key_hash;
  std::vector<gentian::peer_address> peers;
  /** `ip:port` of the key-value service; empty for none. */
  std::string key_value_address;
  /** `ip:port` of the platform's host list; empty for none. */
  std::string host_list_address;
  /** File with the key that all daemons share. */
  std::string cluster_key_file;
  /** Folder on a persistent disk; empty for none. */
  std::string data_folder;
  /** Certificate of the callers' interface; empty for plain HTTP. */
  tls_files caller_tls;
  std::string log_level = "info";
  /** Memory that the process may use, in megabytes; 0 for that of the host. */
  std::uint64_t memory_mb = 0;
  /** Time after which a planned stop ends requests that still run. */
  milliseconds stop_deadline{300'000};
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_DAEMON_OPTIONS_H_
