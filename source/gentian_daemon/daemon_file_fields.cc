#include "gentian_daemon/daemon_file.h"
#include "gentian_settings/settings_assign.h"

namespace gentian {

namespace {

using detail::Into;
using field = settings_field<daemon_options>;
using assigner = std::function<void(daemon_options&, const parsed_value&)>;

constexpr double kSecond = 1e3;
constexpr double kHour = 3600e3;
constexpr double kMostMegabytes = 1e6;

field Entry(std::string name,
            value_rule rule,
            presence need,
            std::string default_text,
            assigner assign,
            std::string description) {
  return {{std::move(name), std::move(rule), need, std::move(default_text),
           false, std::move(description)},
          std::move(assign)};
}

field Required(std::string name,
               value_type type,
               assigner assign,
               std::string description) {
  return Entry(std::move(name), value_rule{type}, presence::required, "",
               std::move(assign), std::move(description));
}

field Optional(std::string name,
               value_type type,
               assigner assign,
               std::string description) {
  return Entry(std::move(name), value_rule{type}, presence::optional, "",
               std::move(assign), std::move(description));
}

std::vector<field> DaemonKeys() {
  return {
      Required("host", value_type::name, Into(&daemon_options::host),
               "Name of this host, as in the section /daemons/<host>"),
      Required("failure_domain", value_type::name,
               Into(&daemon_options::failure_domain),
               "Failure domain of this host"),
      Required("peer_address", value_type::endpoint,
               Into(&daemon_options::peer_address),
               "Address for links between daemons"),
      Required("caller_address", value_type::endpoint,
               Into(&daemon_options::caller_address),
               "Address that callers connect to"),
      Optional("data_folder", value_type::text,
               Into(&daemon_options::data_folder),
               "Folder for copies of sessions; leave it out on hosts without "
               "a disk"),
      Entry("memory_mb", value_rule{value_type::count, 0, kMostMegabytes},
            presence::defaulted, "0", Into(&daemon_options::memory_mb),
            "Memory that the process may use, in megabytes; a quarter of it is "
            "for messages of callers and targets, and 0 stands for the memory "
            "of the host"),
      Entry("stop_deadline", value_rule{value_type::duration, kSecond, kHour},
            presence::defaulted, "5m", Into(&daemon_options::stop_deadline),
            "Time after which a planned stop ends requests that still run")};
}

std::vector<field> AdminKeys() {
  return {Optional("address", value_type::endpoint,
                   Into(&daemon_options::admin_address),
                   "Address of the administration API; without it there is "
                   "none"),
          // The label needs the key's name, so ParseDaemonFile stores it.
          Optional(
              "key.*", value_type::sha256,
              [](daemon_options&, const parsed_value&) {},
              "SHA-256 of an operator's key; the rest of the name is the "
              "operator's name in the audit log")};
}

std::vector<field> TlsKeys() {
  return {Optional("certificate", value_type::text,
                   Into(&daemon_options::caller_tls, &tls_files::certificate),
                   "PEM file with this daemon's certificate chain"),
          Optional("private_key", value_type::text,
                   Into(&daemon_options::caller_tls, &tls_files::private_key),
                   "PEM file with the private key of the certificate"),
          Optional("authorities", value_type::text,
                   Into(&daemon_options::caller_tls, &tls_files::authorities),
                   "PEM file with the certificates that other daemons and the "
                   "key-value service are checked against")};
}

std::vector<field> PeerKeys() {
  return {Optional("key_file", value_type::text,
                   Into(&daemon_options::cluster_key_file),
                   "File with the key that all daemons share"),
          // The name needs the key's name, so ParseDaemonFile stores it.
          Optional(
              "peer.*", value_type::endpoint,
              [](daemon_options&, const parsed_value&) {},
              "Peer address of another daemon; the rest of the name is its "
              "host")};
}

field LogLevel() {
  return Entry(
      "level",
      value_rule{
          value_type::choice, 0, 0, {"debug", "info", "warning", "error"}},
      presence::defaulted, "info", Into(&daemon_options::log_level),
      "Least severe lines that are written to standard error");
}

}  // namespace

const std::vector<daemon_file_section>& DaemonFileSections() {
  static const std::vector<daemon_file_section> sections = {
      {"daemon", DaemonKeys()},
      {"peers", PeerKeys()},
      {"key-value",
       {Required("address", value_type::endpoint,
                 Into(&daemon_options::key_value_address),
                 "Address of the key-value service")}},
      {"host-list",
       {Optional("address", value_type::endpoint,
                 Into(&daemon_options::host_list_address),
                 "Address of the platform's list of hosts")}},
      {"admin", AdminKeys()},
      {"tls", TlsKeys()},
      {"log", {LogLevel()}}};
  return sections;
}

}  // namespace gentian
