#ifndef TESTS_GATEWAY_DOMAIN_SIMULATION_H_
#define TESTS_GATEWAY_DOMAIN_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"

namespace gentian {

/** Targets and gateways of one failure domain in a domain_simulation. */
struct simulated_domain {
  std::string name;
  int targets = 0;
  int gateways = 0;
  /** Requests per second at a time since the start. */
  std::function<double(duration)> rate;
  /** Factor of the time that work takes in the whole domain. */
  std::function<double(duration)> pace = [](duration) { return 1.0; };
  /** When its targets are lost; nothing if they are not. */
  std::optional<duration> lost_at{};
};

struct simulation_settings {
  std::vector<simulated_domain> domains;
  int slots = 8;
  milliseconds request_time{200};
  milliseconds length{20'000};
  /** Results count from this time on. */
  milliseconds measured_from{2'000};
  /** Added to the age of each report of load before it is known. */
  milliseconds report_delay{0};
  std::uint64_t seed = 1;
};

struct simulation_result {
  /** Average time from arrival to answer, plus the price of leaving. */
  double mean_ms = 0;
  /** The time that 99% of the requests are answered in. */
  double late_ms = 0;
  /** Share of requests that left, by the domain of the gateway. */
  std::map<std::string, double> left;
  /** Highest average load of the domain within 500 ms, relative to its slots.
   */
  std::map<std::string, double> peak_load;
  /** The same for the average over the whole time. */
  std::map<std::string, double> mean_load;
  /** Share of the requests that left within the same second in which requests
      left in the opposite direction: the lesser of both directions. */
  double crossed = 0;
  /** Largest change of the share that left a domain from one second to the
      next. */
  double largest_step = 0;
};

/** What a gateway of the simulation knows when it chooses a target. */
struct simulated_gateway {
  std::string domain;
  target_table targets;
  std::unique_ptr<domain_router> router;
  steady_time updated_at;
};

/** How a gateway treats other domains; returns nothing for the choice that
    compares the domain last. */
using domain_policy = std::function<std::optional<domain_charges>(
    simulated_gateway& gateway,
    const std::map<std::string, domain_load>& loads,
    seeded_random& random)>;

/** Policies that are compared. */
domain_policy ComparesDomainLast();
domain_policy StaysUnlessLost();
domain_policy LeavesAboveThreshold();
domain_policy SplitsByCapacity();
domain_policy ChargesOnly();
domain_policy RoutesByShare();

/** Runs requests against targets in failure domains, in virtual time. */
simulation_result Simulate(const simulation_settings& settings,
                           const domain_policy& policy);

}  // namespace gentian

#endif  // TESTS_GATEWAY_DOMAIN_SIMULATION_H_
