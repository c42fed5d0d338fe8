#ifndef GENTIAN_GATEWAY_GATEWAY_CONFIGURATION_H_
#define GENTIAN_GATEWAY_GATEWAY_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentian_gateway/gateway_route.h"
#include "gentian_gateway/gateway_service.h"
#include "gentian_gateway/gateway_team.h"

namespace gentian {

/** One version of the operator's configuration, with indexes for look-ups.
    Immutable; requests hold the version under which they were accepted.
*/
class gateway_configuration {
 public:
  /** What a configuration consists of. */
  struct parts {
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    std::vector<gateway_team> teams;
    /** True if requests need a key, except on routes that are open to all. */
    bool requires_keys = false;
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /** Timeout for a caller to send the header of a request. */
    milliseconds header_timeout{10'000};
    /** Time after which a caller's idle connection is closed. */
    milliseconds idle_timeout{75'000};
  };

  explicit gateway_configuration(parts content);

  std::uint64_t version() const { return content_.version; }
  const parts& content() const { return content_; }

  /** The route of a host with the longest prefix that matches the path, or
      nullptr. */
  const gateway_route* FindRoute(std::string_view host,
                                 std::string_view path) const;

  /** The lists of homes of a host's routes that have one. */
  std::vector<std::vector<std::string>> HomesOf(std::string_view host) const;

  /** The team that a key belongs to, or nullptr. */
  const gateway_team* FindTeamByKey(const std::string& key) const;

  /** A team by name, or nullptr. */
  const gateway_team* FindTeam(const std::string& name) const;

  /** A service by name, or nullptr. */
  const gateway_service* FindService(const std::string& name) const;

 private:
  parts content_;
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> team_by_key_;
  std::unordered_map<std::string, std::size_t> service_by_name_;
};

/** A configuration that several requests share. */
using shared_configuration = std::shared_ptr<const gateway_configuration>;

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_CONFIGURATION_H_
