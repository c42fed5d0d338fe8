#include <criterion/criterion.h>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

target_record Target(const std::string& id, bool draining = false) {
  target_record record;
  record.id = id;
  record.service = "model";
  record.slots = 4;
  record.draining = draining;
  return record;
}

}  // namespace

// Guards against requests to a target that is draining or no longer listed.
Test(target_table, drops_targets_that_leave_or_vanish) {
  target_table table;
  table.Update({Target("a"), Target("b")}, At(0));
  table.Update({Target("a", true)}, At(1'000));
  cr_assert(table.Find("a") == nullptr);
  cr_assert(table.Find("b") == nullptr);
  cr_assert(table.Serving("model").empty());
}

// Guards against losing all targets because their entries expired in an outage
// of the key-value service.
Test(target_table, keeps_targets_that_lapsed_in_an_outage_for_a_while) {
  target_table table;
  table.Update({Target("a"), Target("b")}, At(0));
  table.Update({Target("a")}, At(6'000));
  cr_assert(table.Find("b") != nullptr);
  table.Update({Target("a"), Target("b")}, At(7'000));
  cr_assert(table.Find("b") != nullptr);
  table.Update({Target("a")}, At(8'000));
  cr_assert(table.Find("b") == nullptr);
}

// Guards against requests to a target that has left, at a gateway whose
// listings came late while the key-value service was there.
Test(target_table, late_listings_are_no_outage) {
  target_table table;
  table.Update({Target("a"), Target("b")}, At(0));
  table.OnServiceHeard(At(1'500));
  table.OnServiceHeard(At(3'000));
  table.Update({Target("a")}, At(4'000));
  cr_assert(table.Find("b") == nullptr);
}

// Guards against requests to a target that was listed after an outage and then
// left: it was kept for 2.2 s (seed 910465616205).
Test(target_table, drops_a_target_that_leaves_right_after_an_outage) {
  target_table table;
  table.Update({Target("a"), Target("b")}, At(0));
  table.Update({Target("a"), Target("b")}, At(8'000));
  table.Update({Target("a")}, At(8'900));
  cr_assert(table.Find("b") == nullptr);
}

// Guards against keeping a target that is still missing two seconds after the
// key-value service has recovered.
Test(target_table, drops_a_target_that_does_not_return) {
  target_table table;
  table.Update({Target("a"), Target("b")}, At(0));
  table.Update({Target("a")}, At(8'000));
  table.Update({Target("a")}, At(9'950));
  cr_assert(table.Find("b") == nullptr);
}

// Guards against trusting what was known of a target before its restart.
Test(target_table, forgets_failures_of_a_target_that_restarted) {
  target_table table;
  target_record first = Target("a");
  first.started_at_ms = 1;
  table.Update({first}, At(0));
  table.ReportFailure("a", At(10));
  cr_assert(table.Find("a")->avoid_until > At(10));
  target_record second = first;
  second.started_at_ms = 2;
  table.Update({second}, At(20));
  cr_assert(table.Find("a")->avoid_until < At(10));
}

// Guards against sending work to a full or failing target while others are
// free, and against refusing while one is left.
Test(target_selector, prefers_reachable_targets_with_room) {
  target_table table;
  table.Update({Target("a"), Target("b")}, At(0));
  for (int i = 0; i < 4; ++i) {
    table.RequestStarted("a");
  }
  target_requirements demand;
  demand.service = "model";
  cr_assert(SelectTarget(table, demand, At(1))->record.id == "b");
  table.ReportFailure("b", At(1));
  cr_assert(SelectTarget(table, demand, At(2))->record.id == "a");
  demand.excluded = {"a"};
  cr_assert(SelectTarget(table, demand, At(2))->record.id == "b");
  demand.excluded = {"a", "b"};
  cr_assert(SelectTarget(table, demand, At(2)) == nullptr);
}

// Guards against a limit of an earlier answer, or of an earlier start of the
// target, that replaces the latest one.
Test(target_table, knows_the_latest_limit_of_a_target) {
  target_table table;
  table.Update({Target("a")}, At(0));
  cr_assert(!table.Limit("a"));
  cr_assert(!table.LearnLimit("a", {std::nullopt, At(5)}));
  cr_assert(table.LearnLimit("a", {4.0, At(10)}));
  cr_assert(!table.LearnLimit("a", {std::nullopt, At(9)}));
  cr_assert(table.Limit("a")->rate == 4.0);
  cr_assert(!table.LearnLimit("a", {4.1, At(11)}), "nearly the same");
  cr_assert(table.LearnLimit("a", {2.0, At(12)}));
  cr_assert(table.LimitedTargets().size() == 1);
  cr_assert(table.LearnLimit("a", {std::nullopt, At(13)}));
  cr_assert(table.LimitedTargets().empty());
  cr_assert(!table.LearnLimit("gone", {4.0, At(10)}));
  table.LearnLimit("a", {2.0, At(14)});
  target_record restarted = Target("a");
  restarted.started_at_ms = 1;
  table.Update({restarted}, At(20));
  cr_assert(!table.Limit("a"));
}

// Guards against requests to a target at its limit while others have room.
Test(target_selector, prefers_targets_with_room_below_their_limit) {
  target_table table;
  table.Update({Target("a"), Target("b")}, At(0));
  table.LearnLimit("a", {2.0, At(1)});
  target_requirements demand;
  demand.service = "model";
  cr_assert(SelectTarget(table, demand, At(2))->record.id == "b");
  // All but full: the limited one has free slots.
  for (int i = 0; i < 3; ++i) {
    table.RequestStarted("b");
  }
  cr_assert(SelectTarget(table, demand, At(2))->record.id == "a");
  table.ReportNoRoom("a", At(100));
  cr_assert(SelectTarget(table, demand, At(2))->record.id == "b");
  cr_assert(SelectTarget(table, demand, At(100))->record.id == "a");
  demand.skip_limited = true;
  cr_assert(SelectTarget(table, demand, At(100))->record.id == "b");
  demand.excluded = {"b"};
  cr_assert(SelectTarget(table, demand, At(100)) == nullptr);
  // Without its limit, it has room.
  demand = target_requirements();
  demand.service = "model";
  table.ReportNoRoom("a", At(1'000));
  table.LearnLimit("a", {std::nullopt, At(101)});
  cr_assert(SelectTarget(table, demand, At(102))->record.id == "a");
}

// Guards against an address that a different target has taken over.
Test(target_selector, never_uses_a_target_that_was_replaced) {
  target_table table;
  table.Update({Target("a")}, At(0));
  table.ReportReplaced("a");
  target_requirements demand;
  demand.service = "model";
  cr_assert(SelectTarget(table, demand, At(1)) == nullptr);
}

// Guards against daemons that send the requests of one program to different
// targets, each of which would read its prompt.
Test(target_selector, daemons_choose_the_same_target_for_a_program) {
  target_table one;
  target_table other;
  one.Update({Target("a"), Target("b"), Target("c")}, At(0));
  other.Update({Target("c"), Target("a"), Target("b")}, At(5));
  for (int i = 0; i < 50; ++i) {
    target_requirements demand;
    demand.service = "model";
    demand.affinity_key = "program-" + std::to_string(i);
    cr_assert(SelectTarget(one, demand, At(10))->record.id ==
              SelectTarget(other, demand, At(10))->record.id);
  }
}

// Guards against a stream that changes to another version of the software, and
// against leaving a preferred version that has room.
Test(target_table, chooses_targets_by_software_version) {
  target_table table;
  target_record old_one = Target("a");
  old_one.version = "v1";
  target_record new_one = Target("b");
  new_one.version = "v2";
  table.Update({old_one, new_one}, At(0));
  target_requirements demand;
  demand.service = "model";
  demand.version = "v2";
  cr_assert(SelectTarget(table, demand, At(1))->record.id == "b");
  demand.excluded = {"b"};
  cr_assert(SelectTarget(table, demand, At(1)) == nullptr);
  demand = target_requirements();
  demand.service = "model";
  for (const char* preferred : {"v1", "v2"}) {
    demand.preferred_version = preferred;
    cr_assert(SelectTarget(table, demand, At(1))->record.version == preferred);
  }
  table.ReportFailure("b", At(1));
  cr_assert(SelectTarget(table, demand, At(2))->record.id == "a");
}

// Guards against a guess at the version of a stream, and against refusing one
// that only one version can have begun.
Test(target_table, tells_the_only_version_that_has_served) {
  const auto versioned = [](const std::string& id, const std::string& version) {
    target_record record = Target(id);
    record.version = version;
    return record;
  };
  target_table table;
  cr_assert(!table.OnlyVersion("model", At(0)));
  int now = 0;
  const auto list_until = [&](int end,
                              const std::vector<target_record>& listing) {
    for (; now <= end; now += 800) {
      table.Update(listing, At(now));
    }
  };
  list_until(11'000, {versioned("a", "v1")});
  cr_assert(!table.OnlyVersion("model", At(now)), "not known for long enough");
  list_until(14'000, {versioned("a", "v1")});
  cr_assert(table.OnlyVersion("model", At(now)) == "v1");
  cr_assert(!table.OnlyVersion("tools", At(now)));
  list_until(20'000, {versioned("a", "v1"), versioned("b", "v2")});
  cr_assert(!table.OnlyVersion("model", At(now)));
  const int alone_since = now;
  list_until(alone_since + 10'000, {versioned("b", "v2")});
  cr_assert(!table.OnlyVersion("model", At(now)), "v1 has just left");
  list_until(alone_since + 14'000, {versioned("b", "v2")});
  cr_assert(table.OnlyVersion("model", At(now)) == "v2");
  // A version may have come and gone in an outage of the key-value service.
  cr_assert(!table.OnlyVersion("model", At(now + 4'000)));
  now += 4'000;
  list_until(now + 2'000, {versioned("b", "v2")});
  cr_assert(!table.OnlyVersion("model", At(now)));
}
