#ifndef GENTIAN_BENCH_WORKLOAD_H_
#define GENTIAN_BENCH_WORKLOAD_H_

#include <string>
#include <vector>

#include "gentian_decisions/gentian_decisions.h"

namespace gentian::bench {

/** One model call of a program and what follows it. */
struct turn_plan {
  /** Tokens that the caller adds to the history. */
  double new_tokens = 0;
  double generated_tokens = 0;
  /** Tool call after the turn: time at the tool service, 0 for none. */
  double tool_ms = 0;
  /** Pause of the caller after the turn. */
  double pause_ms = 0;
  /** Sub-agents that run after the turn; the program waits for all. */
  std::vector<std::vector<turn_plan>> sub_agents;
};

/** One program, fixed before the run so that all policies get the same. */
struct program_plan {
  double start_ms = 0;
  std::size_t team = 0;
  /** Daemon that the caller has in its address cache. */
  std::size_t daemon = 0;
  bool is_long = false;
  std::vector<turn_plan> turns;
};

/** What differs between scenarios. */
struct scenario {
  std::string name;
  /** Arrivals relative to the 85% load of the deployment. */
  double load = 1.0;
  double pause_factor = 1;
  double sub_agent_chance = 0.2;
  /** Part of the long programs is multiplied by this. */
  double long_factor = 1;
  double report_lag_ms = 200;
  /** Rate of the noisy team relative to its limit; 0 for its usual load. */
  double noisy_factor = 0;
  /** True if the noisy team sends nothing. */
  bool without_noisy = false;
  bool lose_engine = false;
};

/** Figures of a deployment. */
struct deployment {
  std::string name;
  std::size_t daemons = 0;
  std::size_t engines = 0;
  std::uint32_t slots = 16;
  std::uint64_t cache_tokens = 120'000;
  /** Programs a second at load 1. Meant as 85% of what least_loaded can
      carry, set from its measured part of busy slots, which each result
      states; not yet searched for exactly. */
  double programs_per_second = 0;
  double long_part = 0.4;
  int long_priority = 0;
  int long_turns_low = 6;
  int long_turns_high = 14;
  /** Each team's part of the programs. */
  std::vector<double> team_parts;
  std::size_t noisy_team = 3;
};

/** The two deployments. */
deployment Perecko();
deployment Alpweg();

/** The scenarios of the benchmark. */
std::vector<scenario> AllScenarios();

/** The operators' configuration of a deployment. */
configuration MakeConfiguration(const deployment& where);

/** All programs of a run in the order of their start. */
std::vector<program_plan> MakePrograms(const deployment& where,
                                       const scenario& what,
                                       double length_ms,
                                       std::uint64_t seed);

}  // namespace gentian::bench

#endif  // GENTIAN_BENCH_WORKLOAD_H_
