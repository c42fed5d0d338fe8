#ifndef GENTIAN_GATEWAY_DOMAIN_ROUTER_H_
#define GENTIAN_GATEWAY_DOMAIN_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gentian_gateway/domain_charges.h"

namespace gentian {

/** The usable targets of one service in one failure domain, as a gateway sees
    them. */
struct domain_load {
  /** Sum of slots x learned speed / pace: the requests that the targets process
      at once, if each takes the usual time. */
  double capacity = 0;
  /** Requests that run and wait there. */
  double load = 0;
  /** Age of the load; nothing if no target has reported one. */
  std::optional<duration> age;
  /** Gateways that may send requests there from other domains. */
  std::size_t gateways = 1;
};

/** Decides which share of one gateway's requests for a service stays in its
    failure domain, and the share for each other domain.

    Requests leave while the own domain holds more than it can process without
    the requests waiting for longer than the price. What leaves is bounded by
    the spare capacity of the receiving domain, divided by the gateways that may
    use it, and changes over about a second.
*/
class domain_router {
 public:
  /** Why the share is what it is. */
  enum class cause {
    /** No load of the own domain, or no time of a request, is known. */
    no_news,
    own_has_room,
    own_is_busy,
    /** The own domain is busy, and no other has spare capacity. */
    all_are_full,
    /** The own domain has no usable target. */
    own_is_lost,
  };

  /** @param price  time at which a request that leaves its domain is valued
      @param seed   differs between gateways, so that they don't choose the same
                    domain at the same time */
  domain_router(std::string own_domain, duration price, std::uint64_t seed)
      : own_domain_(std::move(own_domain)), price_(price), seed_(seed) {}

  /** Adjusts the shares.

      @param loads         by failure domain
      @param request_time  time that a request usually takes; 0 if unknown */
  void Update(const std::map<std::string, domain_load>& loads,
              duration request_time,
              steady_time now);

  /** The share of requests that goes to a domain. */
  double ShareOf(const std::string& domain) const;
  /** The share of requests that leaves the own domain. */
  double LeavingShare() const;
  /** By failure domain, without the own one. */
  const std::map<std::string, double>& shares() const { return shares_; }
  cause reason() const { return reason_; }

  /** Charges for the next request. Over many requests, each domain is the
      destination as often as its share says. */
  domain_charges NextCharges();

 private:
  struct plan {
    std::map<std::string, double> shares;
    cause reason = cause::no_news;
  };

  plan PlanFor(const std::map<std::string, domain_load>& loads) const;
  double MaxShareOf(const std::string& domain,
                    const domain_load& other,
                    double fill) const;
  void MoveTowards(const plan& wanted, steady_time now);

  std::string own_domain_;
  duration price_;
  std::uint64_t seed_;
  duration request_time_{};
  std::map<std::string, double> shares_;
  /** Requests that each domain is still owed. */
  std::map<std::string, double> credits_;
  /** Requests since the last update. */
  int requests_ = 0;
  /** Smoothed number of requests per second; nothing before the second
      update. */
  std::optional<double> rate_;
  /** The same in the last interval. */
  double last_rate_ = 0;
  cause reason_ = cause::no_news;
  std::optional<steady_time> updated_at_;
};

/** The stable name of a reason, for logs and metrics. */
const char* NameOf(domain_router::cause reason);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DOMAIN_ROUTER_H_
