#include <criterion/criterion.h>

#include <cmath>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

constexpr milliseconds kPrice{6};
constexpr milliseconds kRequestTime{200};

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

domain_load Load(double capacity, double load, int age_ms = 100) {
  domain_load domain;
  domain.capacity = capacity;
  domain.load = load;
  domain.age = milliseconds(age_ms);
  domain.gateways = 4;
  return domain;
}

using loads = std::map<std::string, domain_load>;

// Updates the router for a time in which it gets 100 requests a second.
void Advance(domain_router& router, const loads& seen, int from_ms, int to_ms) {
  constexpr int kIntervalMs = 200;
  for (int at = from_ms; at < to_ms; at += kIntervalMs) {
    router.Update(seen, kRequestTime, At(at));
    for (int i = 0; i < kIntervalMs / 10; ++i) {
      router.NextCharges();
    }
  }
}

target_record Target(const std::string& id, const std::string& domain) {
  target_record record;
  record.id = id;
  record.service = "model";
  record.failure_domain = domain;
  record.slots = 8;
  return record;
}

reported_load Report(int running, int at_ms, double pace = 1) {
  return {running, 0, At(at_ms), pace};
}

}  // namespace

// Guards against leaving without a reason: no load, no time of a request, or an
// own domain with room.
Test(domain_router, stays_at_home_without_news_or_need) {
  domain_router router("a", kPrice, 1);
  cr_assert_eq(router.ShareOf("a"), 1.0);
  loads seen = {{"a", Load(10, 0)}, {"b", Load(10, 0)}};
  seen["a"].age.reset();
  Advance(router, seen, 0, 5'000);
  cr_assert_eq(router.LeavingShare(), 0.0);
  cr_assert(router.reason() == domain_router::cause::no_news);
  router.Update({{"a", Load(10, 100)}, {"b", Load(10, 0)}}, milliseconds(0),
                At(6'000));
  cr_assert_eq(router.LeavingShare(), 0.0);
  Advance(router, {{"a", Load(10, 7)}, {"b", Load(10, 0)}}, 7'000, 12'000);
  cr_assert_eq(router.LeavingShare(), 0.0);
  cr_assert(router.reason() == domain_router::cause::own_has_room);
}

// Guards against gateways that send a domain more than its spare capacity: the
// share must rise by no more than a gateway's part of it in each round of news.
Test(domain_router, takes_its_part_of_the_spare_capacity) {
  domain_router router("a", kPrice, 1);
  const loads seen = {{"a", Load(100, 300)}, {"b", Load(40, 20)}};
  Advance(router, seen, 0, 1'200);
  // At most 85% of 40 slots, of which 20 are taken, for 4 gateways: 3.5 slots
  // of the 20 that the requests of this one need.
  cr_assert_gt(router.ShareOf("b"), 0.05);
  cr_assert_lt(router.ShareOf("b"), 0.3);
  cr_assert(router.reason() == domain_router::cause::own_is_busy);
}

// Guards against requests for which the price is higher than what they win.
Test(domain_router, a_high_price_keeps_requests_at_home) {
  const loads seen = {{"a", Load(100, 130)}, {"b", Load(100, 10)}};
  domain_router cheap("a", kPrice, 1);
  Advance(cheap, seen, 0, 5'000);
  cr_assert_gt(cheap.LeavingShare(), 0.2);
  domain_router dear("a", milliseconds(200), 1);
  Advance(dear, seen, 0, 5'000);
  cr_assert_eq(dear.LeavingShare(), 0.0);
}

// Guards against requests that full domains send to each other.
Test(domain_router, sends_nothing_to_full_domains) {
  domain_router router("a", kPrice, 1);
  const loads seen = {{"a", Load(100, 300)}, {"b", Load(100, 200)}};
  Advance(router, seen, 0, 5'000);
  cr_assert_eq(router.LeavingShare(), 0.0);
  cr_assert(router.reason() == domain_router::cause::all_are_full);
  const domain_charges charges = router.NextCharges();
  cr_assert(charges.destination.empty());
  cr_assert_gt(charges.ChargeFor("b"), kRequestTime);
  cr_assert(charges.ChargeFor("a") == duration(0));
}

// Guards against requests without a target: there is no domain to stay in.
Test(domain_router, leaves_a_lost_domain_at_once) {
  domain_router router("a", kPrice, 1);
  Advance(router,
          {{"a", Load(100, 10)}, {"b", Load(30, 0)}, {"c", Load(60, 0)}}, 0,
          1'000);
  router.Update({{"b", Load(30, 0)}, {"c", Load(60, 0)}}, kRequestTime,
                At(1'200));
  cr_assert_float_eq(router.LeavingShare(), 1, 1e-9);
  cr_assert_gt(router.ShareOf("c"), router.ShareOf("b"));
  cr_assert(router.reason() == domain_router::cause::own_is_lost);
  // Also if nothing is known of the others.
  domain_load unknown = Load(30, 0);
  unknown.age.reset();
  domain_router new_router("a", kPrice, 1);
  new_router.Update({{"b", unknown}}, milliseconds(0), At(0));
  cr_assert_float_eq(new_router.ShareOf("b"), 1, 1e-9);
}

// Guards against a domain of which nothing is known that gets more than trials.
Test(domain_router, sends_trials_where_there_is_no_news) {
  domain_router router("a", kPrice, 1);
  loads seen = {{"a", Load(100, 300)}, {"b", Load(1'000, 0)}};
  seen["b"].age.reset();
  Advance(router, seen, 0, 10'000);
  cr_assert_gt(router.ShareOf("b"), 0.0);
  cr_assert_leq(router.ShareOf("b"), 0.05);
}

// Guards against shares that jump: the news of one moment may be wrong.
Test(domain_router, smooths_changes) {
  domain_router router("a", kPrice, 1);
  const loads busy = {{"a", Load(100, 300)}, {"b", Load(1'000, 0)}};
  router.Update(busy, kRequestTime, At(0));
  router.Update(busy, kRequestTime, At(200));
  cr_assert_lt(router.LeavingShare(), 0.2);
  Advance(router, busy, 400, 6'000);
  const double most = router.LeavingShare();
  cr_assert_gt(most, 0.6);
  router.Update({{"a", Load(100, 10)}, {"b", Load(1'000, 0)}}, kRequestTime,
                At(6'000));
  cr_assert_gt(router.LeavingShare(), 0.5 * most);
  Advance(router, {{"a", Load(100, 10)}, {"b", Load(1'000, 0)}}, 6'200, 12'000);
  cr_assert_eq(router.LeavingShare(), 0.0);
}

// Guards against requests that don't follow the share.
Test(domain_router, destinations_follow_the_shares) {
  domain_router router("a", kPrice, 1);
  Advance(router, {{"a", Load(100, 300)}, {"b", Load(1'000, 0)}}, 0, 6'000);
  const double share = router.ShareOf("b");
  constexpr int kRequests = 1'000;
  int left = 0;
  for (int i = 0; i < kRequests; ++i) {
    left += router.NextCharges().destination == "b" ? 1 : 0;
  }
  cr_assert_float_eq(left, share * kRequests, 2);
}

// Guards against targets of a service that compare differently although its
// targets report no pace, and against affinity that domains break.
Test(domain_router, charges_change_the_choice_only_where_they_are_given) {
  target_table table;
  table.Update({Target("near", "a"), Target("far", "b")}, At(0));
  table.ReportLoad("near", Report(5, 0));
  table.ReportLoad("far", Report(1, 0));
  target_requirements demand;
  demand.service = "model";
  demand.failure_domain = "a";
  cr_assert(SelectTarget(table, demand, At(1))->record.id == "far");
  domain_router router("a", kPrice, 1);
  const domain_charges charges = router.NextCharges();
  demand.charges = &charges;
  cr_assert(SelectTarget(table, demand, At(1))->record.id == "near");
  // A long wait justifies leaving, whatever the share.
  table.ReportLoad("near", Report(30, 0));
  cr_assert(SelectTarget(table, demand, At(1))->record.id == "far");
  table.ReportLoad("near", Report(5, 0));
  for (int i = 0; i < 20; ++i) {
    demand.affinity_key = "program-" + std::to_string(i);
    demand.charges = nullptr;
    const known_target* plain = SelectTarget(table, demand, At(1));
    demand.charges = &charges;
    cr_assert_eq(SelectTarget(table, demand, At(1)), plain);
  }
}

// Guards against a capacity that counts targets instead of what they can do.
Test(domain_loads, count_speed_pace_and_usable_targets) {
  target_table table;
  table.Update(
      {Target("1", "a"), Target("2", "a"), Target("3", "b"), Target("4", "b")},
      At(0));
  cr_assert_not(ReportsPace(table, "model"));
  table.ReportLoad("1", Report(6, 0, 2));
  table.ReportLoad("3", {3, 0, At(0)});
  table.ReportFailure("4", At(0));
  cr_assert(ReportsPace(table, "model"));
  const loads seen = LoadsByDomain(table, "model", PlainWeights(At(0)), At(0));
  // 4 of the slow target and 8 of the one without a report.
  cr_assert_float_eq(seen.at("a").capacity, 12, 1e-9);
  cr_assert_float_eq(seen.at("a").load, 18, 1e-9);
  cr_assert_float_eq(seen.at("b").capacity, 8, 1e-9);
  cr_assert_float_eq(seen.at("b").load, 3, 1e-9);
  cr_assert(seen.at("a").age == duration(0));
  // A pace of long ago says nothing, and neither does a load.
  const loads later =
      LoadsByDomain(table, "model", PlainWeights(At(9'000)), At(9'000));
  cr_assert_float_eq(later.at("a").capacity, 16, 1e-3);
  cr_assert_not(later.at("a").age.has_value());
}

// Guards against services without a pace that are treated in a new way, and
// against a switch that doesn't switch.
Test(domain_routers, apply_to_services_that_report_a_pace) {
  target_table table;
  table.Update({Target("near", "a"), Target("far", "b")}, At(0));
  table.ReportLoad("near", {1, 0, At(0)});
  domain_routers automatic({}, 1);
  domain_routers on({own_domain_mode::on, kPrice}, 1);
  domain_routers off({own_domain_mode::off, kPrice}, 1);
  cr_assert_not(automatic.ChargesFor("model", "a", table, {}, At(1)));
  cr_assert(on.ChargesFor("model", "a", table, {}, At(1)));
  table.ReportLoad("near", Report(1, 1));
  cr_assert(automatic.ChargesFor("model", "a", table, {}, At(300)));
  cr_assert_not(automatic.ChargesFor("model", "", table, {}, At(300)));
  cr_assert_not(off.ChargesFor("model", "a", table, {}, At(300)));
}

// Guards against a change of share that isn't reported, and against a report
// for each request.
Test(domain_routers, report_changes_of_a_share) {
  target_table table;
  table.Update({Target("near", "a"), Target("far", "b")}, At(0));
  domain_routers routers({}, 1);
  routers.AddSample("model", kRequestTime);
  member_record member;
  member.failure_domain = "a";
  std::size_t reports = 0;
  for (int at = 0; at < 9'000; at += 10) {
    table.ReportLoad("near", Report(40, at));
    table.ReportLoad("far", Report(0, at));
    routers.ChargesFor("model", "a", table, {{"one", member}}, At(at));
    for (const domain_routers::change& change : routers.TakeChanges()) {
      cr_assert_eq(change.domain, "a");
      cr_assert(change.reason == domain_router::cause::own_is_busy);
      ++reports;
    }
  }
  cr_assert_eq(reports, 1);
}

// Guards against programs that are placed in another domain although the own
// one has room, and against turns whose domain is not known being moved.
Test(domain_routers, place_programs_in_the_domain_of_their_gateway) {
  target_table table;
  table.Update({Target("near", "a"), Target("far", "b")}, At(0));
  table.ReportLoad("near", Report(3, 0));
  table.ReportLoad("far", Report(1, 0));
  domain_routers routers({}, 1);
  turn_scheduler scheduler(table);
  scheduler.SetCharges([&](const waiting_turn& turn, steady_time now) {
    return routers.ChargesFor(turn.service, turn.failure_domain, table, {},
                              now);
  });
  waiting_turn turn;
  turn.service = "model";
  turn.finish_by = turn.deadline = turn.reject_at = At(10'000);
  turn.ticket = 1;
  turn.program = "first";
  turn.failure_domain = "a";
  scheduler.Add(turn);
  cr_assert_eq(scheduler.Advance(At(1)).at(0).target, "near");
  turn.ticket = 2;
  turn.program = "second";
  turn.failure_domain = "";
  scheduler.Add(turn);
  cr_assert_eq(scheduler.Advance(At(2)).at(0).target, "far");
}
