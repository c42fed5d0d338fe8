#include "gentian_gateway/placement_policy.h"

#include <criterion/criterion.h>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

const region_table kRegions = {{"a1", "a"},
                               {"a2", "a"},
                               {"b1", "b"},
                               {"c1", "c"}};

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

target_record TargetIn(const std::string& domain) {
  target_record record;
  record.id = "t-" + domain;
  record.service = "model";
  record.failure_domain = domain;
  record.slots = 4;
  return record;
}

target_table TargetsIn(const std::vector<std::string>& domains) {
  std::vector<target_record> records;
  records.reserve(domains.size());
  for (const std::string& domain : domains) {
    records.push_back(TargetIn(domain));
  }
  target_table table;
  table.Update(records, At(0));
  return table;
}

}  // namespace

// Guards against a change for requests without homes, also in a deployment
// without a table of regions.
Test(placement_policy, without_homes_all_may) {
  const placement_policy none;
  const placement_policy empty_lists({}, "", {{}, {}});
  for (const placement_policy* subject : {&none, &empty_lists}) {
    cr_assert(!subject->has_homes());
    cr_assert(subject->MayRun(TargetIn("anywhere")));
    cr_assert(subject->MayHold("anywhere"));
  }
}

// Guards against a request that runs outside its homes, also where the region
// of a target is not known.
Test(placement_policy, a_target_has_to_be_in_a_home) {
  const placement_policy subject(kRegions, "c", {{"a", "b"}, {}});
  cr_assert(subject.has_homes());
  cr_assert(subject.MayRun(TargetIn("a1")));
  cr_assert(subject.MayRun(TargetIn("b1")));
  cr_assert(!subject.MayRun(TargetIn("c1")));
  cr_assert(!subject.MayRun(TargetIn("unknown")));
  cr_assert(!subject.MayRun(TargetIn("")));
  const placement_policy nameless(kRegions, "", {{""}});
  cr_assert(!nameless.MayRun(TargetIn("unknown")));
  cr_assert(!nameless.MayHold("unknown"));
}

// Guards against a list of a team that replaces the one of its route.
Test(placement_policy, both_lists_apply) {
  const placement_policy both(kRegions, "", {{"a", "b"}, {"b", "c"}});
  cr_assert(!both.MayRun(TargetIn("a1")));
  cr_assert(both.MayRun(TargetIn("b1")));
  cr_assert(!both.MayRun(TargetIn("c1")));
  // Contradicting lists leave nothing, not everything.
  const placement_policy none(kRegions, "a", {{"a"}, {"b"}});
  cr_assert(none.has_homes() && none.homes().empty());
  cr_assert(!none.MayRun(TargetIn("a1")));
}

// Guards against a body that is carried or kept by a host which is neither in a
// home nor in the caller's region.
Test(placement_policy, hosts_in_homes_or_at_the_caller_hold_bodies) {
  const placement_policy subject(kRegions, "c", {{"a"}});
  cr_assert(subject.MayHold("a2") && subject.IsAtHome("a2"));
  cr_assert(subject.MayHold("c1") && !subject.IsAtHome("c1"));
  cr_assert(!subject.MayHold("b1"));
  cr_assert(!subject.MayHold("unknown"));
}

// Guards against a choice, by affinity or load, of a target outside the homes.
Test(placement_policy, targets_are_chosen_in_homes_only) {
  const target_table table = TargetsIn({"a1", "b1", "c1", "unknown"});
  const placement_policy subject(kRegions, "c", {{"a"}});
  for (int i = 0; i < 100; ++i) {
    target_requirements demand;
    demand.service = "model";
    demand.failure_domain = "c1";
    demand.affinity_key = i % 2 == 0 ? "" : "program-" + std::to_string(i);
    demand.may_run = [&](const target_record& target) {
      return subject.MayRun(target);
    };
    const known_target* chosen = SelectTarget(table, demand, At(10));
    cr_assert(chosen != nullptr && chosen->record.failure_domain == "a1");
    demand.excluded = {"t-a1"};
    cr_assert(SelectTarget(table, demand, At(10)) == nullptr);
  }
}

// Guards against turns that their owner places outside their homes, and against
// ones that crowd the few engines in their homes: the limit for all engines
// doesn't hold them back.
Test(placement_policy, turns_are_placed_in_homes_only) {
  target_table table =
      TargetsIn({"a1", "b1", "c1", "c2", "c3", "c4", "c5", "c6"});
  const placement_policy subject(kRegions, "", {{"a"}});
  turn_scheduler scheduler(table);
  std::size_t admitted = 0;
  for (turn_ticket ticket = 1; ticket <= 12; ++ticket) {
    waiting_turn turn;
    turn.ticket = ticket;
    turn.program = "program-" + std::to_string(ticket);
    turn.service = "model";
    turn.finish_by = At(60'000);
    turn.deadline = At(5'000);
    turn.reject_at = At(2'000);
    turn.homes = {"a"};
    turn.may_run = [&](const target_record& target) {
      return subject.MayRun(target);
    };
    scheduler.Add(turn);
    for (const turn_decision& decision : scheduler.Advance(At(10))) {
      cr_assert(decision.target == "t-a1", "%s", decision.target.c_str());
      ++admitted;
    }
  }
  cr_assert(admitted == 2, "%zu turns", admitted);
  // Others have room.
  waiting_turn other;
  other.ticket = 20;
  other.program = "other";
  other.service = "model";
  other.finish_by = At(60'000);
  other.deadline = At(5'000);
  other.reject_at = At(2'000);
  scheduler.Add(other);
  cr_assert(scheduler.Advance(At(11)).size() == 1);
}
