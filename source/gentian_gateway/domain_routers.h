#ifndef GENTIAN_GATEWAY_DOMAIN_ROUTERS_H_
#define GENTIAN_GATEWAY_DOMAIN_ROUTERS_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gentian_gateway/domain_router.h"
#include "gentian_gateway/member_record.h"
#include "gentian_gateway/target_table.h"

namespace gentian {

/** For which services the own failure domain comes first. */
enum class own_domain_mode {
  /** Those whose targets report a pace. */
  automatic,
  on,
  off,
};

/** How a gateway treats other failure domains. */
struct domain_options {
  own_domain_mode mode = own_domain_mode::automatic;
  /** Time at which one request that leaves its domain is valued. A request
      makes two more trips of up to 1.4 ms. What its bytes cost is not known,
     and counts as much again. */
  milliseconds price{6};
};

/** The domain_routers of one gateway, by service and by the failure domain that
    requests come from. */
class domain_routers {
 public:
  /** A share that has changed. */
  struct change {
    std::string service;
    std::string domain;
    /** Shares of the requests that leave the domain. */
    double before = 0;
    double now = 0;
    domain_router::cause reason = domain_router::cause::no_news;
  };

  /** @param seed  differs between gateways */
  domain_routers(domain_options options, std::uint64_t seed)
      : options_(options), seed_(seed) {}

  /** Charges for the next request of a service; nothing if only equally loaded
      targets are to be compared by domain.

      @param domain   that the request comes from; nothing is known if empty
      @param members  the gateways */
  std::optional<domain_charges> ChargesFor(
      const std::string& service,
      const std::string& domain,
      const target_table& targets,
      const std::map<std::string, member_record>& members,
      steady_time now);

  /** Learns how long a request of a service took. */
  void AddSample(const std::string& service, duration request_time);

  /** Changes of shares since the last call, at most one every 10 s for each
      service and domain. */
  std::vector<change> TakeChanges() { return std::exchange(changes_, {}); }

  /** Calls a function with each service, domain and router. */
  template <typename Function>
  void ForEach(Function function) const {
    for (const auto& [key, entry] : entries_) {
      function(key.first, key.second, entry.router);
    }
  }

 private:
  struct entry {
    domain_router router;
    steady_time updated_at;
    bool is_active = false;
    double reported_share = 0;
    std::optional<steady_time> reported_at;
  };

  void Update(entry& to_update,
              const std::string& service,
              const std::string& domain,
              const target_table& targets,
              const std::map<std::string, member_record>& members,
              steady_time now);

  domain_options options_;
  std::uint64_t seed_;
  std::map<std::pair<std::string, std::string>, entry> entries_;
  std::map<std::string, duration> request_times_;
  std::vector<change> changes_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DOMAIN_ROUTERS_H_
