#ifndef TESTS_GATEWAY_TARGET_SIMULATION_H_
#define TESTS_GATEWAY_TARGET_SIMULATION_H_

#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"

namespace gentian {

/** A load that several gateways put on the targets of a service. */
struct simulated_load {
  std::uint32_t seed = 1;
  int gateways = 70;
  int targets = 7;
  int slots = 6;
  /** Usual time of a request; each has between a half and one and a half of it.
   */
  double request_s = 0.2;
  /** Share of the capacity at the mean pace that the requests need. */
  double utilization = 0.7;
  /** Every so many targets, one has half the speed; 0 for none. */
  int slow_every = 0;
  /** Share of hosts at 2.5 times the usual time, drawn anew each 0.6 s. */
  double disturbed = 0;
  /** The state that answers report is so old. */
  milliseconds report_lag{0};
  double seconds = 120;
};

/** How a load was served, without its first fifth. */
struct simulated_outcome {
  double mean_s = 0;
  /** The 99th percentile. */
  double p99_s = 0;
  /** Requests of each target. */
  std::vector<int> requests;
};

/** Chooses the index of a target. */
using simulated_choice = std::function<std::size_t(std::size_t gateway,
                                                   const target_table& targets,
                                                   std::uint64_t request,
                                                   steady_time now)>;

/** Serves a load in virtual time. Targets work on `slots` requests at once and
    admit them in the order of arrival; an answer reports the target's state.

    @param reports_pace  answers have the fourth figure */
simulated_outcome Simulate(const simulated_load& load,
                           bool reports_pace,
                           const simulated_choice& choose);

/** Choices to compare with. */
simulated_choice RoundRobin(const simulated_load& load);
simulated_choice LeastReported(const simulated_load& load);
/** The product's choice. */
simulated_choice Selected();

}  // namespace gentian

#endif  // TESTS_GATEWAY_TARGET_SIMULATION_H_
