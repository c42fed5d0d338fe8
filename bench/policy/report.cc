#include "report.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>
#include <vector>

#include "simulation.h"

namespace gentian::bench {

namespace {

constexpr std::uint64_t kTunedSeeds[] = {1, 2, 3};
// Run and reported, but never looked at while the policy is changed.
constexpr std::uint64_t kHeldOutSeeds[] = {101, 102};
const char* const kPolicies[] = {"gentianrun", "round_robin", "least_loaded"};

struct job {
  deployment where;
  scenario what;
  std::string policy;
  std::uint64_t seed = 0;
};

json ToJson(const run_result& result) {
  return json{{"deployment", result.deployment},
              {"scenario", result.scenario},
              {"policy", result.policy},
              {"seed", result.seed},
              {"program_latency_p50_ms", result.program_latency_p50_ms},
              {"program_latency_p99_ms", result.program_latency_p99_ms},
              {"worst_team_p99_ms", result.worst_team_p99_ms},
              {"wrongful_refusals", result.wrongful_refusals},
              {"refusals", result.refusals},
              {"overspend_requests", result.overspend_requests},
              {"cache_hit_ratio", result.cache_hit_ratio},
              {"recomputed_tokens", result.recomputed_tokens},
              {"programs_finished", result.programs_finished},
              {"programs_started", result.programs_started},
              {"given_up", result.given_up},
              {"others_hit_ratio", result.others_hit_ratio},
              {"others_wait_ms", result.others_wait_ms},
              {"others_engine_ms", result.others_engine_ms},
              {"utilization", result.utilization}};
}

std::vector<job> MakeJobs(const std::string& only, bool held_out) {
  std::vector<job> jobs;
  std::vector<std::uint64_t> seeds(std::begin(kTunedSeeds),
                                   std::end(kTunedSeeds));
  if (held_out) {
    seeds.insert(seeds.end(), std::begin(kHeldOutSeeds),
                 std::end(kHeldOutSeeds));
  }
  for (const deployment& where : {Perecko(), Alpweg()}) {
    for (const scenario& what : AllScenarios()) {
      if (!only.empty() && what.name.find(only) == std::string::npos) {
        continue;
      }
      for (const std::uint64_t seed : seeds) {
        for (const char* policy : kPolicies) {
          jobs.push_back(job{where, what, policy, seed});
        }
      }
    }
  }
  return jobs;
}

std::vector<run_result> RunJobs(const std::vector<job>& jobs, int threads) {
  std::vector<run_result> results(jobs.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(threads));
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      for (std::size_t k = next++; k < jobs.size(); k = next++) {
        const job& each = jobs[k];
        results[k] =
            simulation(each.where, each.what, each.policy, each.seed).Run();
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return results;
}

void PrintRow(const run_result& each) {
  std::printf(
      "%-8s %-18s %-12s %4llu %8.0f %8.0f %8.0f %6llu %6llu %5llu %5.3f %9.0f "
      "%5llu/%-5llu %4.2f\n",
      each.deployment.c_str(), each.scenario.c_str(), each.policy.c_str(),
      static_cast<unsigned long long>(each.seed), each.program_latency_p50_ms,
      each.program_latency_p99_ms, each.worst_team_p99_ms,
      static_cast<unsigned long long>(each.wrongful_refusals),
      static_cast<unsigned long long>(each.refusals),
      static_cast<unsigned long long>(each.overspend_requests),
      each.cache_hit_ratio, each.recomputed_tokens,
      static_cast<unsigned long long>(each.programs_finished),
      static_cast<unsigned long long>(each.programs_started), each.utilization);
}

using results_view = std::vector<run_result>;
using result_filter = std::function<bool(const run_result&)>;

const run_result* Find(const results_view& all,
                       const run_result& like,
                       const std::string& scenario,
                       const std::string& policy) {
  for (const run_result& each : all) {
    if (each.deployment == like.deployment && each.seed == like.seed &&
        each.scenario == scenario && each.policy == policy) {
      return &each;
    }
  }
  return nullptr;
}

void PrintBound(const std::string& what, double value, bool met) {
  std::printf("%-6s %-72s %10.3f\n", met ? "met" : "MISSED", what.c_str(),
              value);
}

// The sum of a count over the results of the policy under test.
void CheckZero(const results_view& all,
               const std::string& what,
               const std::function<double(const run_result&)>& count) {
  double sum = 0;
  for (const run_result& each : all) {
    sum += each.policy == "gentianrun" ? count(each) : 0;
  }
  PrintBound(what, sum, sum == 0);
}

void CheckRatios(const results_view& all) {
  for (const run_result& own : all) {
    if (own.policy != "gentianrun") {
      continue;
    }
    const std::string where = own.deployment + " " + own.scenario + " seed " +
                              std::to_string(own.seed) + ": ";
    if (own.scenario == "noisy_team") {
      const run_result* quiet =
          Find(all, own, "without_noisy_team", "gentianrun");
      if (quiet != nullptr) {
        const double ratio = own.worst_team_p99_ms / quiet->worst_team_p99_ms;
        PrintBound(where + "worst team p99 with / without noise <= 1.2", ratio,
                   ratio <= 1.2);
      }
    }
    const run_result* least = Find(all, own, own.scenario, "least_loaded");
    const run_result* turns = Find(all, own, own.scenario, "round_robin");
    if (own.scenario == "steady_85") {
      const double p99 =
          least->program_latency_p99_ms / own.program_latency_p99_ms;
      PrintBound(where + "p99 of least_loaded / own >= 1.5", p99, p99 >= 1.5);
      const double p50 =
          own.program_latency_p50_ms / least->program_latency_p50_ms;
      PrintBound(where + "p50 own / least_loaded <= 1", p50, p50 <= 1.0);
    }
    const double recomputed = own.recomputed_tokens / turns->recomputed_tokens;
    PrintBound(where + "recomputed tokens own / round_robin <= 0.5", recomputed,
               recomputed <= 0.5);
  }
}

void PrintBounds(const results_view& all) {
  CheckZero(all, "requests beyond rate x time + burst = 0",
            [](const run_result& each) {
              return static_cast<double>(each.overspend_requests);
            });
  CheckZero(all, "wrongful refusals without a fault = 0",
            [](const run_result& each) {
              return each.scenario == "engine_lost"
                         ? 0.0
                         : static_cast<double>(each.wrongful_refusals);
            });
  CheckZero(all, "programs that did not finish = 0",
            [](const run_result& each) {
              return static_cast<double>(each.programs_started -
                                         each.programs_finished);
            });
  CheckRatios(all);
}

}  // namespace

bool RunBenchmark(const std::string& results_file,
                  int threads,
                  const std::string& only) {
  const std::filesystem::path path(results_file);
  std::filesystem::create_directories(path.parent_path());
  std::ofstream out(results_file);
  if (!out) {
    std::fprintf(stderr, "can not write %s\n", results_file.c_str());
    return false;
  }
  // The two seeds that nobody tunes to run only with the full benchmark.
  const results_view all = RunJobs(MakeJobs(only, only.empty()), threads);
  std::printf("%-8s %-18s %-12s %4s %8s %8s %8s %6s %6s %5s %5s %9s %11s %4s\n",
              "where", "scenario", "policy", "seed", "p50 ms", "p99 ms",
              "worst", "wrong", "refus", "over", "hit", "recomp", "finished",
              "util");
  for (const run_result& each : all) {
    out << ToJson(each).dump() << "\n";
    PrintRow(each);
  }
  PrintBounds(all);
  return out.good();
}

}  // namespace gentian::bench
