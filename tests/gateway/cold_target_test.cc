// Tests what is known of cold targets, and the decisions that follow from it.
#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

constexpr double kFactor = 1.5;
constexpr double kSlack = 5;
constexpr milliseconds kColdTime{3'000};

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

gateway_service Service(double cold_rate) {
  gateway_service service;
  service.name = "model";
  service.cold_time = kColdTime;
  service.cold_rate = cold_rate;
  return service;
}

cold_limit Limit(double cold_rate = 26) {
  return ColdLimitOf(Service(cold_rate), kFactor, kSlack);
}

target_record Target(const std::string& id,
                     std::uint64_t entry_version,
                     milliseconds cold_left) {
  target_record record;
  record.id = id;
  record.service = "model";
  record.slots = 4;
  record.started_at_ms = 1;
  record.entry_version = entry_version;
  record.cold_left = cold_left;
  return record;
}

target_table Table(double cold_rate = 26) {
  target_table table;
  if (cold_rate > 0) {
    table.SetColdLimits({{"model", Limit(cold_rate)}});
  }
  return table;
}

bool IsNear(std::optional<double> value, double expected) {
  return value && std::abs(*value - expected) < 0.01 * expected;
}

}  // namespace

// Guards against a rate and a burst that exceed the bound in some second,
// although requests arrive up to 0.45 s after their permits were granted.
Test(cold_target, no_second_has_more_than_the_bound) {
  constexpr int kDelayMs = 450;
  for (const double rate : {0.3, 1.0, 2.5, 9.0, 26.0, 140.0}) {
    for (const double factor : {1.0, 1.5, 4.0}) {
      for (const double slack : {0.0, 5.0}) {
        const cold_limit limit = ColdLimitOf(Service(rate), factor, slack);
        cr_assert(limit.rate <= rate);
        target_pacer pacer;
        std::vector<int> times;
        // A pause, after which the burst is available, then steady demand.
        for (int ms : {0, 100}) {
          pacer.Reserve({"a", limit.rate, milliseconds(0), At(0), limit.burst},
                        At(ms));
        }
        for (int ms = 20'000; ms < 30'000; ++ms) {
          if (pacer
                  .Reserve(
                      {"a", limit.rate, milliseconds(0), At(0), limit.burst},
                      At(ms))
                  .made) {
            times.push_back(ms);
          }
        }
        const double bound = std::max(1.0, rate * factor + slack);
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
          while (times[last] - times[first] >= 1'000 + kDelayMs) {
            ++first;
          }
          cr_assert(static_cast<double>(last - first + 1) <= bound,
                    "%zu at %f x %f + %f", last - first + 1, rate, factor,
                    slack);
        }
      }
    }
  }
  // The deployment that has the limit uses all of it.
  cr_assert(Limit().rate == 26);
  cr_assert(Limit().burst > milliseconds(100));
}

// Guards against a limit for services that have no rate for cold targets.
Test(cold_target, without_a_rate_there_is_no_limit) {
  for (const double rate : {0.0, -1.0}) {
    cr_assert(!ColdLimitOf(Service(rate), kFactor, kSlack).IsSet());
  }
  target_table table = Table(0);
  table.Update({Target("a", 1, kColdTime)}, At(0));
  cr_assert(!table.ReportCold("a", kColdTime, At(0)));
  cr_assert(!table.Find("a")->IsLimited(At(0)));
  cr_assert(!table.Find("a")->RateLimit(At(0)));
  cr_assert(table.ColdTargets(At(0)).empty());
  cr_assert(table.cold_changes().turned_cold.empty());
}

// Guards against a jump of the load when the cold time ends.
Test(cold_target, the_rate_doubles_for_two_seconds_after_the_cold_time) {
  target_table table = Table();
  table.Update({Target("a", 1, kColdTime)}, At(0));
  const known_target& target = *table.Find("a");
  cr_assert(IsNear(target.RateLimit(At(0)), 26));
  cr_assert(IsNear(target.RateLimit(At(3'000)), 26));
  cr_assert(IsNear(target.RateLimit(At(4'000)), 52));
  cr_assert(IsNear(target.RateLimit(At(4'999)), 104));
  cr_assert(!target.RateLimit(At(5'000)));
  cr_assert(!target.IsLimited(At(5'000)));
  double before = 26;
  for (int ms = 3'000; ms < 5'000; ms += 100) {
    const double rate = *target.RateLimit(At(ms));
    cr_assert(rate >= before && rate < 1.1 * before);
    before = rate;
  }
}

// Guards against a cold time that begins anew with each listing, and against
// one that is counted from before its record was written: a listing is asked
// for before the change for which it waits.
Test(cold_target, the_time_counts_from_the_reading_of_the_record) {
  target_table table = Table();
  table.Update({Target("a", 1, kColdTime)}, At(0), At(700));
  for (int ms = 1'000; ms <= 6'000; ms += 800) {
    table.Update({Target("a", 1, kColdTime)}, At(ms), At(ms));
  }
  cr_assert(table.Find("a")->cold.TimeLeft(At(700)) == milliseconds(3'000));
  cr_assert(table.Find("a")->cold.IsCold(At(3'600)));
  cr_assert(!table.Find("a")->cold.IsCold(At(3'800)));
}

// Guards against a target that stays limited after its record says that it is
// warm, and against a rate that does not rise then.
Test(cold_target, a_later_record_ends_the_cold_time) {
  target_table table = Table();
  table.Update({Target("a", 1, kColdTime)}, At(0));
  table.Update({Target("a", 2, milliseconds(0))}, At(1'200));
  cr_assert(!table.Find("a")->cold.IsCold(At(1'300)));
  cr_assert(IsNear(table.Find("a")->RateLimit(At(2'200)), 52));
  // Further records don't hold the rise up.
  table.Update({Target("a", 3, milliseconds(0))}, At(2'400));
  cr_assert(!table.Find("a")->RateLimit(At(3'200)));
}

// Guards against more requests than the bound when gateways have read the
// record at different moments, the pacer last: each question carries the rate
// that the asker knows, and the lower one applies.
Test(cold_target, many_gateways_learn_of_it_at_different_moments) {
  constexpr int kGateways = 76;
  constexpr int kPacerLagMs = 900;
  constexpr int kWindowMs = 1'450;
  constexpr std::size_t kBound = 44;
  std::vector<target_table> tables;
  tables.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    tables.push_back(Table());
  }
  target_pacer pacer;
  std::vector<int> times;
  const auto lag = [](int gateway) {
    return gateway == 0 ? kPacerLagMs : gateway * 10;
  };
  for (int ms = 0; ms <= 3'000; ++ms) {
    for (int i = 0; i < kGateways; ++i) {
      if (ms == lag(i)) {
        tables[static_cast<std::size_t>(i)].Update({Target("a", 1, kColdTime)},
                                                   At(ms));
      }
    }
    const auto& asker = tables[static_cast<std::size_t>(ms % kGateways)];
    const known_target* target = asker.Find("a");
    if (target == nullptr) {
      continue;
    }
    double rate = *target->RateLimit(At(ms));
    duration burst{0};
    if (const known_target* paced = tables[0].Find("a")) {
      rate = std::min(rate, paced->RateLimit(At(ms)).value_or(rate));
      burst = paced->cold.burst();
    }
    if (pacer.Reserve({"a", rate, milliseconds(0), At(0), burst}, At(ms))
            .made) {
      times.push_back(ms);
    }
  }
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= kWindowMs) {
      ++first;
    }
    cr_assert(last - first + 1 <= kBound, "%zu", last - first + 1);
  }
  cr_assert(times.size() >= 60, "%zu", times.size());
}

// Guards against requests without a limit to a target that becomes cold while
// it serves, or that restarts with the same ID or at the same moment as others.
Test(cold_target, becomes_cold_again_under_load_or_by_a_restart) {
  target_table table = Table();
  table.Update({Target("a", 1, milliseconds(0)), Target("b", 1, kColdTime)},
               At(0));
  table.RequestStarted("a");
  cr_assert(!table.Find("a")->IsLimited(At(100)));
  table.Update({Target("a", 2, kColdTime), Target("b", 1, kColdTime)},
               At(60'000));
  cr_assert(table.cold_changes().turned_cold == std::vector<std::string>{"a"});
  cr_assert(IsNear(table.Find("a")->RateLimit(At(60'000)), 26));
  // A value that can't be read begins a new cold time after a restart.
  target_record broken = Target("b", 3, milliseconds::max());
  table.Update({Target("a", 3, milliseconds(0)), broken}, At(120'000));
  table.Update({Target("a", 3, milliseconds(0)), broken}, At(130'000));
  cr_assert(!table.Find("b")->IsLimited(At(130'000)));
  broken.started_at_ms = 2;
  broken.entry_version = 4;
  table.Update({Target("a", 3, milliseconds(0)), broken}, At(140'000));
  cr_assert(table.Find("b")->cold.TimeLeft(At(140'000)) == kColdTime);
}

// Guards against a value that can't be read, or that is longer than the cold
// time, which keeps a target cold for good: its record is written every 1.2 s.
Test(cold_target, malformed_values_count_as_one_cold_time) {
  for (const milliseconds odd :
       {milliseconds::max(), milliseconds::min(), milliseconds(-1),
        kColdTime + milliseconds(1), milliseconds(9'999'999'999'999)}) {
    target_table table = Table();
    int at = 0;
    for (std::uint64_t version = 1; version < 8; ++version, at += 1'200) {
      table.Update({Target("a", version, odd)}, At(at));
      cr_assert(table.cold_changes().malformed.size() == 1);
      table.Update({Target("a", version, odd)}, At(at + 400));
      cr_assert(table.cold_changes().malformed.empty(), "one for each version");
      cr_assert(table.Find("a")->cold.IsCold(At(at)) == (at < 3'000));
    }
    cr_assert(!table.Find("a")->IsLimited(At(at)));
  }
}

// Guards against a target that counts as warm for good, or whose time can't be
// computed, because its record was read before the configuration.
Test(cold_target, the_configuration_may_come_after_the_record) {
  for (const milliseconds left :
       {kColdTime, milliseconds::max(), milliseconds(9'999'999'999'999)}) {
    target_table table;
    table.Update({Target("a", 1, left)}, At(0));
    cr_assert(!table.Find("a")->IsLimited(At(500)));
    table.SetColdLimits({{"model", Limit()}});
    cr_assert(IsNear(table.Find("a")->RateLimit(At(2'900)), 26));
    cr_assert(!table.Find("a")->IsLimited(At(5'100)));
    table.SetColdLimits({});
    cr_assert(!table.Find("a")->IsLimited(At(500)));
  }
}

// Guards against an answer that is not believed until the next record, and
// against a record, written before the answer, that overrides it.
Test(cold_target, an_answer_may_say_more_than_the_record) {
  target_table table = Table();
  table.Update({Target("a", 1, milliseconds(0))}, At(0));
  cr_assert(table.ReportCold("a", kColdTime, At(1'000)));
  cr_assert(!table.ReportCold("a", milliseconds(2'900), At(1'100)));
  table.Update({Target("a", 2, milliseconds(0))}, At(1'200));
  cr_assert(table.Find("a")->cold.IsCold(At(3'900)));
  cr_assert(!table.Find("a")->cold.IsCold(At(4'100)));
  // Answers that can't be true don't keep it cold for good.
  for (int ms = 10'000; ms < 20'000; ms += 100) {
    table.ReportCold("a", milliseconds(1'000'000), At(ms));
  }
  cr_assert(!table.Find("a")->IsLimited(At(20'000)));
  cr_assert(!table.ReportCold("unknown", kColdTime, At(20'000)));
}

// Guards against a limit that the target names being replaced by a higher one,
// or published as if the target had named that of its cold time.
Test(cold_target, the_lower_of_two_limits_applies) {
  target_table table = Table();
  table.Update({Target("a", 1, kColdTime)}, At(0));
  cr_assert(table.LimitedTargets().empty());
  table.LearnLimit("a", {2.5, At(100)});
  cr_assert(IsNear(table.Find("a")->RateLimit(At(200)), 2.5));
  table.LearnLimit("a", {400.0, At(300)});
  cr_assert(IsNear(table.Find("a")->RateLimit(At(400)), 26));
  cr_assert(IsNear(table.Find("a")->RateLimit(At(9'000)), 400));
  cr_assert(table.LimitedTargets() == std::vector<std::string>{"a"});
}

// Guards against the overload of the warm half of a domain while the other half
// is cold, and against refusals while there are free slots or no cold target.
Test(cold_target, half_a_domain_returns_cold_at_once) {
  std::vector<target_record> listing;
  listing.reserve(12);
  for (int i = 0; i < 12; ++i) {
    listing.push_back(Target("t" + std::to_string(i), 1,
                             i < 6 ? kColdTime : milliseconds(0)));
  }
  target_requirements demand;
  demand.service = "model";
  const auto make_table = [&] {
    demand.affinity_key.clear();
    target_table table = Table();
    table.Update(listing, At(0));
    // Idle cold targets come first, as long as they have room.
    cr_assert(SelectTarget(table, demand, At(10)) != nullptr);
    for (int i = 6; i < 12; ++i) {
      table.RequestStarted("t" + std::to_string(i));
    }
    cr_assert(SelectTarget(table, demand, At(10))->cold.IsCold(At(10)));
    for (int i = 0; i < 6; ++i) {
      table.ReportNoRoom("t" + std::to_string(i), At(1'000));
    }
    return table;
  };
  // Six targets with four slots, of which one is in use.
  for (const char* key : {"", "program"}) {
    target_table warm = make_table();
    demand.affinity_key = key;
    for (int sent = 0; sent < 18; ++sent) {
      const known_target* chosen = SelectTarget(warm, demand, At(10));
      cr_assert(chosen != nullptr && !chosen->cold.IsCold(At(10)));
      cr_assert(chosen->open_requests < 4);
      warm.RequestStarted(chosen->record.id);
    }
    cr_assert(SelectTarget(warm, demand, At(10)) == nullptr);
    // A request that may have run is not refused for want of a free slot.
    target_requirements retry = demand;
    retry.excluded = {"t11"};
    cr_assert(SelectTarget(warm, retry, At(10)) != nullptr);
    // A cold target has room again, and later all are warm.
    cr_assert(SelectTarget(warm, demand, At(1'001))->cold.IsCold(At(1'001)));
    cr_assert(SelectTarget(warm, demand, At(5'100)) != nullptr);
  }
}

// Guards against refusals in a busy service whose targets are all warm.
Test(cold_target, full_targets_are_used_if_none_is_cold) {
  target_table table = Table();
  table.Update({Target("a", 1, milliseconds(0))}, At(0));
  for (int i = 0; i < 10; ++i) {
    table.RequestStarted("a");
  }
  target_requirements demand;
  demand.service = "model";
  cr_assert(SelectTarget(table, demand, At(10)) != nullptr);
}

// Guards against turns that all gateways place on a cold target because its
// load is low.
Test(cold_target, turns_are_shared_out_among_gateways) {
  target_table table = Table();
  table.Update({Target("a", 1, kColdTime), Target("b", 1, milliseconds(0))},
               At(0));
  turn_scheduler scheduler(table);
  scheduler.SetDaemonCount(52);
  int cold = 0;
  for (int i = 0; i < 20; ++i) {
    waiting_turn turn;
    turn.ticket = static_cast<turn_ticket>(i) + 1;
    turn.program = "p" + std::to_string(i);
    turn.service = "model";
    turn.deadline = At(60'000);
    turn.finish_by = At(60'000);
    turn.reject_at = At(60'000);
    scheduler.Add(turn);
    for (const turn_decision& decision : scheduler.Advance(At(10 + i))) {
      cold += decision.target == "a" ? 1 : 0;
    }
    scheduler.Remove(turn.ticket);
  }
  // 26 a second for 52 gateways: one turn in two seconds for each.
  cr_assert(cold == 1, "%d", cold);
}

// Guards against a pacer that goes on where it stopped when it paces a target
// again: another gateway has granted permits meanwhile.
Test(cold_target, a_pacer_that_was_replaced_starts_anew) {
  target_pacer pacer;
  const cold_limit limit = Limit();
  const auto reserve = [&](int earliest, int at) {
    return pacer
        .Reserve({"a", limit.rate, milliseconds(0), At(earliest), limit.burst},
                 At(at))
        .made;
  };
  cr_assert(reserve(0, 0));
  pacer.Retain([](const std::string&) { return true; });
  cr_assert(reserve(5'000, 1'000), "it paces the target all the time");
  pacer.Retain([](const std::string&) { return false; });
  cr_assert(!reserve(11'500, 10'000));
  cr_assert(reserve(11'500, 11'500));
  cr_assert(!reserve(11'500, 11'500), "no burst at the start");
}
