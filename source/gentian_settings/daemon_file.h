#ifndef GENTIAN_SETTINGS_DAEMON_FILE_H_
#define GENTIAN_SETTINGS_DAEMON_FILE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gentian_settings/settings_problem.h"
#include "gentian_settings/settings_schema.h"

namespace gentian {

/** What one daemon needs to start: the content of the file that
    `gentianrun serve` reads. Everything else is in the operators' settings,
    which the key-value service holds.
*/
struct daemon_file {
  host_id host;
  failure_domain_id failure_domain;
  std::string peer_address;
  std::string caller_address;
  /** Folder for copies of sessions; empty on hosts without a disk. */
  std::string data_folder;
  std::uint32_t io_threads = 2;

  /** Peer addresses of daemons to ask for the others. */
  std::set<std::string> seeds;

  /** Addresses of the key-value service's HTTP interface. */
  std::set<std::string> kv_endpoints;
  bool kv_tls = false;

  /** Address of the platform's list of hosts; empty if there is none. */
  std::string host_list_address;

  /** Address of the administration API; empty switches it off. */
  std::string admin_address;
  /** Name of each operator by the SHA-256 of their key. */
  std::map<std::string, std::string> operators_by_key_hash;

  /** PEM files; all empty switches TLS off. */
  std::string tls_certificate;
  std::string tls_private_key;
  std::string tls_authority;

  std::string log_level = "info";
  /** File that log lines are appended to; empty for standard error. */
  std::string log_file;
};

/** A section of the daemon's file and its keys. */
struct daemon_file_section {
  std::string name;
  std::vector<settings_field<daemon_file>> fields;
};

/** All sections of the daemon's file: the single source for its checks and its
    reference in docs/operators.md.
*/
const std::vector<daemon_file_section>& DaemonFileSections();

/** Reads and checks a daemon's file. Reports every mistake. */
std::variant<daemon_file, std::vector<settings_problem>> ParseDaemonFile(
    const std::string& text,
    const std::string& file);

/** True if the text is a daemon's file and not the operators' settings: their
    section names begin with `/`.
*/
bool IsDaemonFile(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_DAEMON_FILE_H_
