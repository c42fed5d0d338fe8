#include <criterion/criterion.h>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

using kind = evacuation_list::event::kind;

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

target_record Target(const std::string& id, const std::string& domain) {
  target_record record;
  record.id = id;
  record.service = "model";
  record.failure_domain = domain;
  record.slots = 4;
  return record;
}

/** Two targets in each of two failure domains. */
target_table TwoDomains() {
  target_table table;
  table.Update({Target("a1", "a"), Target("a2", "a"), Target("b1", "b"),
                Target("b2", "b")},
               At(0));
  return table;
}

bool Exists(const std::string& domain) {
  return domain == "a" || domain == "b";
}

std::string DomainOf(const target_table& table, const std::string& id) {
  const known_target* listed = table.FindListed(id);
  return listed == nullptr ? "none" : listed->record.failure_domain;
}

}  // namespace

// Guards against requests to targets of an evacuated domain by any way that
// names a target: a kept placement, a bound target, the list of a service.
Test(evacuation, its_targets_are_not_found) {
  target_table table = TwoDomains();
  table.evacuations().Update({"a"});
  cr_assert(table.Find("a1") == nullptr);
  cr_assert(table.Find("b1") != nullptr);
  cr_assert(table.Serving("model").size() == 2);
  cr_assert(table.HasTarget("model"));
  // Requests that run there go on.
  cr_assert(table.FindListed("a1") != nullptr);
  cr_assert(table.IsEvacuated("a1"));
  cr_assert(!table.IsEvacuated("b1"));
  table.evacuations().Update({"a", "b"});
  cr_assert(!table.HasTarget("model"));
  table.evacuations().Update({});
  cr_assert(table.Find("a1") != nullptr);
  cr_assert(table.Serving("model").size() == 4);
}

// Guards against a choice by affinity or load that leads into an evacuated
// domain, also where the gateway prefers that domain.
Test(evacuation, no_choice_leads_there) {
  target_table table = TwoDomains();
  table.evacuations().Update({"a"});
  for (int i = 0; i < 100; ++i) {
    target_requirements demand;
    demand.service = "model";
    demand.failure_domain = "a";
    demand.affinity_key = i % 2 == 0 ? "" : "program-" + std::to_string(i);
    const known_target* chosen = SelectTarget(table, demand, At(10));
    cr_assert(chosen != nullptr && chosen->record.failure_domain == "b");
    demand.excluded = {"b1", "b2"};
    cr_assert(SelectTarget(table, demand, At(10)) == nullptr);
  }
}

// Guards against a program that stays on its engine although the engine's
// domain was evacuated, and against turns of the lost engines that are counted
// as capacity.
Test(evacuation, programs_leave_their_engines) {
  target_table table = TwoDomains();
  turn_scheduler scheduler(table);
  const auto place = [&](turn_ticket ticket, const std::string& program,
                         int ms) {
    scheduler.Add(
        {ticket, program, "model", 0, At(60'000), At(5'000), At(2'000)});
    const std::vector<turn_decision> decisions = scheduler.Advance(At(ms));
    scheduler.Remove(ticket);
    return decisions.empty() ? "" : decisions.front().target;
  };
  std::map<std::string, std::string> before;
  turn_ticket ticket = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string program = "program-" + std::to_string(i);
    before[program] = place(++ticket, program, 10);
  }
  const double limit = scheduler.ConcurrencyLimit("model");
  table.evacuations().Update({"a"});
  cr_assert(scheduler.ConcurrencyLimit("model") < limit);
  int moved = 0;
  for (const auto& [program, engine] : before) {
    const std::string now = place(++ticket, program, 20);
    cr_assert(DomainOf(table, now) == "b", "%s", now.c_str());
    moved += now != engine ? 1 : 0;
  }
  cr_assert(moved > 0);
}

// Guards against an evacuation that follows the address of a target instead of
// its record: a restart in another domain ends it, one in the domain doesn't.
Test(evacuation, the_record_of_a_restarted_target_decides) {
  target_table table = TwoDomains();
  table.evacuations().Update({"a"});
  target_record again = Target("a1", "a");
  again.started_at_ms = 5;
  table.Update({again, Target("b1", "b")}, At(1'000));
  cr_assert(table.Find("a1") == nullptr);
  again.failure_domain = "b";
  again.started_at_ms = 9;
  table.Update({again, Target("b1", "b")}, At(2'000));
  cr_assert(table.Find("a1") != nullptr);
}

// Guards against targets that name no domain and are lost by a key that names
// none.
Test(evacuation, an_empty_name_evacuates_nothing) {
  target_table table;
  table.Update({Target("x", "")}, At(0));
  table.evacuations().Update({""});
  cr_assert(table.Find("x") != nullptr);
  const auto events = table.evacuations().TakeEvents(
      [](const std::string&) { return true; }, true);
  cr_assert(events.size() == 1 && events[0].what == kind::unknown);
}

// Guards against more than one line about a domain that doesn't exist, and
// against one that is written before the domains are known.
Test(evacuation, an_unknown_domain_is_reported_once) {
  evacuation_list subject;
  subject.Update({"nowhere"});
  cr_assert(subject.TakeEvents(Exists, false).empty());
  const auto events = subject.TakeEvents(Exists, true);
  cr_assert(events.size() == 1 && events[0].what == kind::unknown);
  cr_assert(events[0].failure_domain == "nowhere");
  cr_assert(subject.size() == 0);
  subject.Update({"nowhere"});
  cr_assert(subject.TakeEvents(Exists, true).empty());
  subject.Update({});
  cr_assert(subject.TakeEvents(Exists, true).empty());
  subject.Update({"nowhere"});
  cr_assert(subject.TakeEvents(Exists, true).size() == 1);
}

// Guards against an evacuation, or its end, that is reported twice or never.
Test(evacuation, its_begin_and_end_are_reported) {
  evacuation_list subject;
  subject.Update({"a", "new"});
  auto events = subject.TakeEvents(Exists, true);
  cr_assert(events.size() == 2);
  cr_assert(events[0].what == kind::evacuated);
  cr_assert(events[1].what == kind::unknown);
  cr_assert(subject.size() == 1);
  // The other domain comes to exist.
  events = subject.TakeEvents([](const std::string&) { return true; }, true);
  cr_assert(events.size() == 1 && events[0].what == kind::evacuated);
  cr_assert(events[0].failure_domain == "new");
  cr_assert(subject.size() == 2);
  subject.Update({"new"});
  events = subject.TakeEvents(Exists, true);
  cr_assert(events.size() == 1 && events[0].what == kind::returned);
  cr_assert(events[0].failure_domain == "a");
  cr_assert(subject.TakeEvents(Exists, true).empty());
}
