#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <random>
#include <tuple>

#include "gateway/target_simulation.h"

using namespace gentian;

namespace {

struct comparison {
  simulated_outcome chosen;
  simulated_outcome before;
  simulated_outcome round_robin;
  simulated_outcome least_reported;
};

comparison Compare(const char* name, const simulated_load& load) {
  comparison result{Simulate(load, true, Selected()),
                    // Without the fourth figure, as before.
                    Simulate(load, false, Selected()),
                    Simulate(load, true, RoundRobin(load)),
                    Simulate(load, true, LeastReported(load))};
  const auto print = [name](const char* choice,
                            const simulated_outcome& outcome) {
    std::printf(
        "%s, %s: mean %.0f ms, 99%% %.0f ms, requests %d to %d\n", name, choice,
        1'000 * outcome.mean_s, 1'000 * outcome.p99_s,
        *std::min_element(outcome.requests.begin(), outcome.requests.end()),
        *std::max_element(outcome.requests.begin(), outcome.requests.end()));
  };
  print("expected completion", result.chosen);
  print("before", result.before);
  print("round robin", result.round_robin);
  print("least reported", result.least_reported);
  return result;
}

// True if the outcome is better than another by at least a share, in the mean
// and in the tail.
bool IsBetter(const simulated_outcome& outcome,
              const simulated_outcome& other,
              double share) {
  return outcome.mean_s < (1 - share) * other.mean_s &&
         outcome.p99_s < (1 - share) * other.p99_s;
}

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

target_record Target(const std::string& id, int slots = 4) {
  target_record record;
  record.id = id;
  record.service = "service";
  record.slots = slots;
  return record;
}

reported_load Load(int running, int waiting, double pace, int at_ms) {
  return {running, waiting, At(at_ms), pace};
}

// The choice for services without a pace, as it was before there was one.
const known_target* SelectWithoutPace(const target_table& targets,
                                      const target_requirements& demand,
                                      steady_time now) {
  const std::uint64_t seed = StableHash(demand.affinity_key);
  const bool keyed = !demand.affinity_key.empty();
  using rank = std::tuple<bool, bool, bool, bool, double, bool, std::uint64_t>;
  const known_target* best = nullptr;
  rank best_rank;
  for (const known_target* target : targets.All()) {
    const target_record& record = target->record;
    if (record.service != demand.service || target->IsLeaving() ||
        std::count(demand.excluded.begin(), demand.excluded.end(), record.id) >
            0 ||
        (!demand.version.empty() && record.version != demand.version) ||
        target->avoid_until == steady_time::max() || target->HasNoRoom(now) ||
        (demand.skip_limited && target->IsLimited(now))) {
      continue;
    }
    int reported = 0;
    if (target->load && now - target->load->at < milliseconds(1'000)) {
      reported = target->load->running + target->load->waiting;
    }
    const int held = std::max(reported, target->open_requests);
    const rank candidate = {
        now < target->avoid_until,
        held >= std::max(1.0, 0.75 * record.slots),
        !demand.preferred_version.empty() &&
            record.version != demand.preferred_version,
        !keyed && target->IsLimited(now),
        keyed ? 0.0 : static_cast<double>(held) / std::max(1, record.slots),
        !keyed && record.failure_domain != demand.failure_domain,
        StableHash(record.id, seed)};
    if (best == nullptr || candidate < best_rank) {
      best = target;
      best_rank = candidate;
    }
  }
  return best;
}

}  // namespace

// Guards against treating targets of half the speed like the others: one in
// four of 26 has it.
Test(uneven_targets, one_target_in_four_at_half_speed) {
  simulated_load load;
  load.targets = 26;
  load.slow_every = 4;
  const comparison result = Compare("one in four at half speed", load);
  cr_assert(IsBetter(result.chosen, result.before, 0.5));
  cr_assert(IsBetter(result.chosen, result.round_robin, 0.5));
  cr_assert(IsBetter(result.chosen, result.least_reported, 0));
}

// Guards against choosing by counts alone while 15% of the hosts, others each
// 0.6 s, need 2.5 times the usual time. With few gateways, all have news of
// each target, so that the least reported load is as good a choice.
Test(uneven_targets, hosts_that_are_slow_for_a_moment) {
  simulated_load load;
  load.targets = 26;
  load.gateways = 6;
  load.disturbed = 0.15;
  const comparison result = Compare("disturbed hosts", load);
  cr_assert(IsBetter(result.chosen, result.before, 0.02));
  cr_assert(IsBetter(result.chosen, result.round_robin, 0.02));
  cr_assert(result.chosen.mean_s < 1.06 * result.least_reported.mean_s);
}

// Guards against herds of 70 gateways that decide by reports of 200 ms ago, on
// 48 targets of which one in four has half the speed and 15% are disturbed: the
// same news led to the same target, and some targets got nothing all day.
Test(uneven_targets, many_gateways_with_the_same_old_news) {
  simulated_load load;
  load.targets = 48;
  load.slots = 4;
  load.report_lag = milliseconds(200);
  load.slow_every = 4;
  load.disturbed = 0.15;
  const comparison result = Compare("70 gateways, old news", load);
  cr_assert(IsBetter(result.chosen, result.before, 0.5));
  cr_assert(IsBetter(result.chosen, result.round_robin, 0.5));
  cr_assert(IsBetter(result.chosen, result.least_reported, 0.05));
  const std::vector<int>& requests = result.chosen.requests;
  const int total = std::accumulate(requests.begin(), requests.end(), 0);
  const double mean = static_cast<double>(total) / load.targets;
  cr_assert(*std::min_element(requests.begin(), requests.end()) > 0.3 * mean);
  cr_assert(*std::max_element(requests.begin(), requests.end()) < 1.7 * mean);
}

// Guards against unevenly used targets where urgent jobs of all gateways go to
// 7 targets of 6 slots, at a load of 70% and of 88%.
Test(uneven_targets, seven_plain_targets_for_urgent_jobs) {
  simulated_load load;
  load.slow_every = 4;
  load.disturbed = 0.15;
  load.report_lag = milliseconds(200);
  for (const double utilization : {0.7, 0.88}) {
    load.utilization = utilization;
    const comparison result = Compare("seven targets", load);
    cr_assert(IsBetter(result.chosen, result.before, 0.3));
    cr_assert(IsBetter(result.chosen, result.round_robin, 0.5));
    cr_assert(IsBetter(result.chosen, result.least_reported, 0.05));
  }
}

// Guards against another choice for services whose targets send three figures
// or none.
Test(uneven_targets, services_without_a_pace_are_chosen_for_as_before) {
  std::mt19937 random(7);
  const auto chance = [&random](unsigned of) { return random() % of == 0; };
  for (int round = 0; round < 2'000; ++round) {
    target_table table;
    std::vector<target_record> listing;
    const unsigned count = 1 + random() % 12;
    for (unsigned i = 0; i < count; ++i) {
      target_record record = Target("t" + std::to_string(random() % 100),
                                    1 + static_cast<int>(random() % 6));
      record.service = chance(5) ? "other" : "service";
      record.failure_domain = chance(2) ? "a" : "b";
      record.version = chance(2) ? "1" : "2";
      record.draining = chance(8);
      listing.push_back(record);
    }
    table.Update(listing, At(0));
    for (const target_record& record : listing) {
      for (unsigned open = random() % 4; open > 0; --open) {
        table.RequestStarted(record.id);
      }
      if (chance(2)) {
        table.ReportLoad(record.id, {static_cast<int>(random() % 6),
                                     static_cast<int>(random() % 3),
                                     At(static_cast<int>(random() % 2'000)),
                                     {}});
        table.ReportWork(record.id, {milliseconds(random() % 500)}, At(1'900));
      }
      if (chance(4)) {
        table.LearnLimit(record.id, {20.0, At(0)});
      }
      if (chance(8)) {
        table.ReportNoRoom(record.id, At(static_cast<int>(random() % 4'000)));
      }
      if (chance(5)) {
        table.ReportFailure(record.id, At(1'900));
      }
      if (chance(12)) {
        table.ReportReplaced(record.id);
      }
    }
    target_requirements demand;
    demand.service = "service";
    demand.failure_domain = "a";
    demand.draw = random();
    demand.skip_limited = chance(4);
    demand.affinity_key = chance(2) ? "key" + std::to_string(random()) : "";
    demand.version = chance(4) ? "1" : "";
    demand.preferred_version = chance(4) ? "2" : "";
    if (chance(3)) {
      demand.excluded = {listing.front().id};
    }
    cr_assert(SelectTarget(table, demand, At(2'000)) ==
              SelectWithoutPace(table, demand, At(2'000)));
  }
}

// Guards against an old pace that counts like a new one, and against a report
// that comes late and replaces a newer one.
Test(uneven_targets, an_old_pace_is_the_usual_one) {
  target_table table;
  table.Update({Target("a")}, At(0));
  cr_assert(PaceNow(*table.Find("a"), At(0)) == 1);
  table.ReportLoad("a", Load(0, 0, 2.5, 1'000));
  cr_assert(PaceNow(*table.Find("a"), At(1'000)) == 2.5);
  cr_assert(PaceNow(*table.Find("a"), At(1'300)) < 1.6);
  cr_assert(PaceNow(*table.Find("a"), At(9'000)) < 1.001);
  table.ReportLoad("a", Load(0, 0, 1, 500));
  cr_assert(PaceNow(*table.Find("a"), At(1'000)) == 2.5);
}

// Guards against a speed that is told from few requests, learned from those
// that waited or were disturbed, or kept through a restart of the target.
Test(uneven_targets, learns_the_usual_time_of_a_start) {
  target_table table;
  target_record first = Target("a");
  first.started_at_ms = 1;
  table.Update({first, Target("b")}, At(0));
  for (int i = 0; i < 30; ++i) {
    // Twice the usual time, of which one half was spent waiting.
    table.ReportLoad("a", Load(4, 4, 1, 100 * i));
    table.ReportWork("a", {milliseconds(200)}, At(100 * i));
    // A disturbed host, and one long report after which the pace is known.
    table.ReportLoad("b", Load(1, 0, 2, 100 * i));
    table.ReportWork("b", {milliseconds(20)}, At(100 * i));
  }
  const auto usual = [&table](const char* id) {
    return ToMilliseconds(UsualTime(
        *table.Find(id), table.FindService("service")->performance, {}));
  };
  cr_assert(usual("a") > milliseconds(85) && usual("a") <= milliseconds(100));
  cr_assert(usual("b") >= milliseconds(10) && usual("b") < milliseconds(25));
  table.ReportWork("b", {duration(0)}, At(4'000));
  table.ReportWork("unknown", {milliseconds(1)}, At(4'000));
  target_record second = first;
  second.started_at_ms = 2;
  table.Update({second, Target("b")}, At(5'000));
  cr_assert(!table.Find("a")->performance.IsLearned());
  cr_assert(usual("a") < milliseconds(85));
}

// Guards against a program that waits at the target of its key while that one
// is much slower than others, and against moving it for less.
Test(uneven_targets, a_key_leaves_its_target_only_if_it_is_much_slower) {
  target_table table;
  table.Update({Target("a"), Target("b"), Target("c")}, At(0));
  for (int i = 0; i < 30; ++i) {
    for (const char* id : {"a", "b", "c"}) {
      table.ReportLoad(id, Load(1, 0, 1, 100 * i));
      table.ReportWork(id, {milliseconds(100)}, At(100 * i));
    }
  }
  target_requirements demand;
  demand.service = "service";
  demand.affinity_key = "program";
  const std::string usual = SelectTarget(table, demand, At(3'000))->record.id;
  table.ReportLoad(usual, Load(1, 0, 1.5, 3'000));
  cr_assert(SelectTarget(table, demand, At(3'000))->record.id == usual);
  table.ReportLoad(usual, Load(2, 0, 9, 3'000));
  cr_assert(SelectTarget(table, demand, At(3'000))->record.id != usual);
  cr_assert(SelectTarget(table, demand, At(6'000))->record.id == usual);
}

// Guards against a full target that is chosen although the ones that were not
// compared are free, and against none if all are excluded but one.
Test(uneven_targets, finds_the_only_target_with_room) {
  target_table table;
  std::vector<target_record> listing;
  listing.reserve(static_cast<std::size_t>(40));
  for (int i = 0; i < 40; ++i) {
    listing.push_back(Target("t" + std::to_string(100 + i), 2));
  }
  table.Update(listing, At(0));
  for (const target_record& record : listing) {
    const bool is_free = record.id == "t117";
    table.ReportLoad(record.id,
                     Load(is_free ? 0 : 2, is_free ? 0 : 5, 1, 1'000));
  }
  target_requirements demand;
  demand.service = "service";
  for (std::uint64_t draw = 0; draw < 50; ++draw) {
    demand.draw = draw;
    cr_assert(SelectTarget(table, demand, At(1'000))->record.id == "t117");
  }
  for (const target_record& record : listing) {
    if (record.id != "t130") {
      demand.excluded.push_back(record.id);
    }
  }
  cr_assert(SelectTarget(table, demand, At(1'000))->record.id == "t130");
  demand.excluded.push_back("t130");
  cr_assert(SelectTarget(table, demand, At(1'000)) == nullptr);
}
