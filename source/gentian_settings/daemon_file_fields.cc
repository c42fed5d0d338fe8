#include "gentian_settings/daemon_file.h"
#include "gentian_settings/settings_assign.h"

namespace gentian {

namespace {

using detail::Into;
using field = settings_field<daemon_file>;
using assigner = std::function<void(daemon_file&, const parsed_value&)>;

constexpr double kMostThreads = 64;

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
      Required("host", value_type::name, Into(&daemon_file::host),
               "Name of this host, as in the section /daemons/<host>"),
      Required("failure_domain", value_type::name,
               Into(&daemon_file::failure_domain),
               "Failure domain of this host"),
      Required("peer_address", value_type::endpoint,
               Into(&daemon_file::peer_address),
               "Address for links between daemons"),
      Required("caller_address", value_type::endpoint,
               Into(&daemon_file::caller_address),
               "Address that callers connect to"),
      Optional("data_folder", value_type::text, Into(&daemon_file::data_folder),
               "Folder for copies of sessions; leave it out on hosts without "
               "a disk"),
      Entry("io_threads", value_rule{value_type::count, 1, kMostThreads},
            presence::defaulted, "2", Into(&daemon_file::io_threads),
            "Threads for network input and output")};
}

std::vector<field> AdminKeys() {
  return {
      Optional("address", value_type::endpoint,
               Into(&daemon_file::admin_address),
               "Address of the administration API; without it there is "
               "none"),
      // The label needs the key's name, so ParseDaemonFile stores it.
      Optional(
          "key.*", value_type::sha256, [](daemon_file&, const parsed_value&) {},
          "SHA-256 of an operator's key; the rest of the name is the "
          "operator's name in the audit log")};
}

std::vector<field> TlsKeys() {
  return {
      Optional("certificate", value_type::text,
               Into(&daemon_file::tls_certificate),
               "PEM file with this daemon's certificate chain"),
      Optional("private_key", value_type::text,
               Into(&daemon_file::tls_private_key),
               "PEM file with the private key of the certificate"),
      Optional("authority", value_type::text, Into(&daemon_file::tls_authority),
               "PEM file with the certificates that other daemons and the "
               "key-value service are checked against")};
}

std::vector<field> LogKeys() {
  return {
      Entry(
          "level",
          value_rule{
              value_type::choice, 0, 0, {"debug", "info", "warning", "error"}},
          presence::defaulted, "info", Into(&daemon_file::log_level),
          "Least severe lines that are written"),
      Optional("file", value_type::text, Into(&daemon_file::log_file),
               "File that lines are appended to; without it they go to "
               "standard error")};
}

}  // namespace

const std::vector<daemon_file_section>& DaemonFileSections() {
  static const std::vector<daemon_file_section> sections = {
      {"daemon", DaemonKeys()},
      {"peers",
       {Optional("seeds", value_type::endpoint_list, Into(&daemon_file::seeds),
                 "Peer addresses of daemons to ask for the others")}},
      {"key-value",
       {Required("endpoints", value_type::endpoint_list,
                 Into(&daemon_file::kv_endpoints),
                 "Addresses of the key-value service"),
        Entry("tls", value_rule{value_type::yes_no}, presence::defaulted, "no",
              Into(&daemon_file::kv_tls),
              "yes if the key-value service is reached over TLS")}},
      {"host-list",
       {Optional("address", value_type::endpoint,
                 Into(&daemon_file::host_list_address),
                 "Address of the platform's list of hosts")}},
      {"admin", AdminKeys()},
      {"tls", TlsKeys()},
      {"log", LogKeys()}};
  return sections;
}

}  // namespace gentian
