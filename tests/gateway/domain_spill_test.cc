// Patterns of load in which requests should stay in their failure domain or
// leave it, in virtual time. Each test also shows that the choice that compares
// the domain last doesn't hold the same bounds.

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>

#include "gateway/domain_simulation.h"

using namespace gentian;

namespace {

constexpr double kPi = 3.14159265358979;
// Runs vary by about 10% with the seed; results are averages or extremes.
constexpr std::uint64_t kSeeds = 2;

std::function<double(duration)> Always(double rate) {
  return [rate](duration) { return rate; };
}

// The targets of a domain with 8 of them end about 260 requests a second.
simulation_settings Domains(double a, double b, double c) {
  simulation_settings settings;
  settings.domains = {
      {"a", 8, 7, Always(a)}, {"b", 8, 7, Always(b)}, {"c", 8, 6, Always(c)}};
  return settings;
}

// Averages of times, extremes of everything else.
simulation_result Run(simulation_settings settings,
                      const domain_policy& policy) {
  simulation_result all;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    settings.seed = seed;
    const simulation_result one = Simulate(settings, policy);
    all.mean_ms += one.mean_ms / kSeeds;
    all.crossed = std::max(all.crossed, one.crossed);
    all.largest_step = std::max(all.largest_step, one.largest_step);
    for (const auto& [domain, left] : one.left) {
      all.left[domain] = std::max(all.left[domain], left);
    }
    for (const auto& [domain, load] : one.peak_load) {
      all.peak_load[domain] = std::max(all.peak_load[domain], load);
    }
  }
  return all;
}

}  // namespace

// Guards against requests that leave domains that could serve them.
Test(leaving_a_domain, calm) {
  const simulation_settings calm = Domains(150, 150, 150);
  const auto stays = [](const simulation_result& result) {
    return result.left.at("a") < 0.03 && result.left.at("b") < 0.03 &&
           result.left.at("c") < 0.03;
  };
  cr_assert(stays(Run(calm, RoutesByShare())));
  cr_assert_not(stays(Run(calm, ComparesDomainLast())));
}

// Guards against a hot domain that keeps its requests, and against relief for
// which the other domains send theirs away.
Test(leaving_a_domain, one_domain_hot) {
  const simulation_settings hot = Domains(320, 100, 100);
  const simulation_result routed = Run(hot, RoutesByShare());
  const auto holds = [](const simulation_result& result) {
    return result.left.at("a") > 0.15 && result.left.at("a") < 0.4 &&
           result.left.at("b") < 0.04 && result.left.at("c") < 0.04;
  };
  cr_assert(holds(routed));
  cr_assert_lt(routed.peak_load.at("b"), 1.3);
  cr_assert_not(holds(Run(hot, ComparesDomainLast())));
  cr_assert_not(holds(Run(hot, LeavesAboveThreshold())));
  cr_assert_lt(routed.mean_ms, 0.6 * Run(hot, StaysUnlessLost()).mean_ms);
  cr_assert_lt(routed.mean_ms, 1.2 * Run(hot, SplitsByCapacity()).mean_ms);
}

// Guards against shares that flap, or that come too late, when the demand of
// the domains rises and falls at different times.
Test(leaving_a_domain, waves_out_of_phase) {
  simulation_settings waves = Domains(0, 0, 0);
  for (std::size_t i = 0; i < waves.domains.size(); ++i) {
    waves.domains[i].rate = [i](duration at) {
      constexpr double kPeriodS = 16;
      return 180 * (1 + 0.7 * std::sin(2 * kPi *
                                       (ToSeconds(at) / kPeriodS +
                                        static_cast<double>(i) / 3.0)));
    };
  }
  waves.length = milliseconds(34'000);
  const simulation_result routed = Run(waves, RoutesByShare());
  const auto holds = [](const simulation_result& result) {
    return result.left.at("a") < 0.25 && result.crossed < 0.03 &&
           result.largest_step < 0.35;
  };
  cr_assert(holds(routed));
  cr_assert_not(holds(Run(waves, ComparesDomainLast())));
  cr_assert_not(holds(Run(waves, LeavesAboveThreshold())));
  cr_assert_lt(routed.mean_ms, 0.9 * Run(waves, StaysUnlessLost()).mean_ms);
  cr_assert_lt(routed.mean_ms, 1.1 * Run(waves, SplitsByCapacity()).mean_ms);
}

// Guards against a domain whose only target gets the requests of all its
// gateways.
Test(leaving_a_domain, one_target_in_a_domain) {
  simulation_settings one = Domains(150, 100, 100);
  one.domains[0].targets = 1;
  const simulation_result routed = Run(one, RoutesByShare());
  const auto holds = [](const simulation_result& result) {
    return result.left.at("a") > 0.7 && result.left.at("a") < 0.9 &&
           result.left.at("b") < 0.04 && result.left.at("c") < 0.04;
  };
  cr_assert(holds(routed));
  cr_assert_not(holds(Run(one, ComparesDomainLast())));
  cr_assert_not(holds(Run(one, LeavesAboveThreshold())));
  cr_assert_lt(routed.mean_ms, 0.5 * Run(one, StaysUnlessLost()).mean_ms);
  cr_assert_lt(routed.mean_ms, 1.15 * Run(one, SplitsByCapacity()).mean_ms);
}

// Guards against a domain without targets whose requests overload one of the
// others or are not served.
Test(leaving_a_domain, domain_lost) {
  simulation_settings lost = Domains(100, 100, 100);
  lost.domains[0].lost_at = milliseconds(8'000);
  const simulation_result routed = Run(lost, RoutesByShare());
  const auto holds = [](const simulation_result& result) {
    return result.left.at("a") > 0.4 && result.left.at("b") < 0.04 &&
           result.left.at("c") < 0.04;
  };
  cr_assert(holds(routed));
  cr_assert_not(holds(Run(lost, ComparesDomainLast())));
  cr_assert_not(holds(Run(lost, LeavesAboveThreshold())));
  cr_assert_lt(routed.mean_ms, 0.9 * Run(lost, StaysUnlessLost()).mean_ms);
  cr_assert_lt(routed.mean_ms, 1.1 * Run(lost, SplitsByCapacity()).mean_ms);
}

// Guards against requests that full domains send to each other.
Test(leaving_a_domain, all_domains_full) {
  simulation_settings full = Domains(290, 290, 290);
  full.length = milliseconds(12'000);
  const simulation_result routed = Run(full, RoutesByShare());
  const auto holds = [](const simulation_result& result) {
    return result.crossed < 0.06 && result.left.at("a") < 0.2 &&
           result.left.at("b") < 0.2 && result.left.at("c") < 0.2;
  };
  cr_assert(holds(routed));
  cr_assert_not(holds(Run(full, ComparesDomainLast())));
  cr_assert_lt(routed.mean_ms, Run(full, LeavesAboveThreshold()).mean_ms);
  cr_assert_lt(routed.mean_ms, Run(full, SplitsByCapacity()).mean_ms);
}

// Guards against decisions on load that is nearly a second old, by which all
// gateways send to a domain and all away from it.
Test(leaving_a_domain, stale_news) {
  simulation_settings stale = Domains(320, 100, 100);
  stale.report_delay = milliseconds(900);
  const simulation_result routed = Run(stale, RoutesByShare());
  const auto holds = [](const simulation_result& result) {
    return result.left.at("a") > 0.1 && result.left.at("a") < 0.35 &&
           result.left.at("b") < 0.03 && result.largest_step < 0.5;
  };
  cr_assert(holds(routed));
  cr_assert_lt(routed.peak_load.at("b"), 1.3);
  cr_assert_not(holds(Run(stale, ComparesDomainLast())));
  cr_assert_lt(routed.mean_ms, 0.6 * Run(stale, StaysUnlessLost()).mean_ms);
  cr_assert_lt(routed.mean_ms, Run(stale, LeavesAboveThreshold()).mean_ms);
}

// Guards against gateways that together send a domain more than it has room
// for, because each of them sees the same spare capacity.
Test(leaving_a_domain, twenty_gateways_relieve_one_domain) {
  simulation_settings relief;
  relief.domains = {{"a", 8, 20, Always(330)}, {"b", 8, 4, Always(80)}};
  const simulation_result routed = Run(relief, RoutesByShare());
  const auto holds = [](const simulation_result& result) {
    return result.left.at("a") > 0.15 && result.left.at("b") < 0.04 &&
           result.peak_load.at("b") < 1.55;
  };
  cr_assert(holds(routed));
  for (const domain_policy& other :
       {ComparesDomainLast(), LeavesAboveThreshold(), SplitsByCapacity()}) {
    const simulation_result result = Run(relief, other);
    cr_assert_not(holds(result));
    cr_assert_lt(routed.peak_load.at("b"), result.peak_load.at("b"));
  }
  cr_assert_lt(routed.mean_ms, 0.5 * Run(relief, StaysUnlessLost()).mean_ms);
}
