#include <criterion/criterion.h>

#include "decisions/scheduling_fakes.h"

using namespace gentian;

// Guards against retries beyond the budget (10 for 100 first attempts, plus 3),
// and against repeating a call that may have run and is not repeatable.
Test(retry_policy, stays_within_its_budget_and_repeats_nothing_unknown) {
  retry_policy subject;
  step_fixture step;
  node_context context = step.Context();
  const team_id team("t");
  const target_id target("e0");
  for (int i = 0; i < 100; ++i) {
    subject.RecordFirstAttempt(team, target, step.now);
  }
  cr_assert(
      !subject.Decide(team, target, target_failure::broken, 1, false, context));
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    const auto delay = subject.Decide(team, target, target_failure::not_sent, 1,
                                      false, context);
    allowed += delay ? 1 : 0;
    cr_assert(!delay || *delay <= retry_policy::kBackoffBase);
  }
  cr_assert(allowed == 13);
}

// Guards against ejecting every target of a pool when all of them fail.
Test(retry_policy, ejects_at_most_half_of_a_pool) {
  retry_policy subject;
  const steady_time now = steady_time(std::chrono::hours(1));
  int ejected = 0;
  for (int engine = 0; engine < 4; ++engine) {
    const target_id id("e" + std::to_string(engine));
    for (int i = 0; i < retry_policy::kMaxConsecutiveFailures; ++i) {
      subject.RecordOutcome(id, pool_id("p"), 4, false, now);
    }
    ejected += subject.IsEjected(id, now) ? 1 : 0;
    cr_assert(!subject.IsEjected(id, now + retry_policy::kMinEjectionTime));
  }
  cr_assert(ejected == 2);
}

// Guards against a cache that an engine keeps because the release was lost.
Test(memory_release, is_repeated_until_confirmed) {
  configuration settings = MakeSettings(1, 1, 4);
  fake_view view("d0", 1, &settings);
  engine_memory subject(view);
  step_fixture step;
  node_context context = step.Context();
  subject.RecordCallEnd(session_id("s"), target_id("e0"), 500, step.now);
  subject.EndSession(session_id("s"), context);
  for (int i = 0; i < 100; ++i) {
    context.now += kTickInterval;
    subject.Tick({}, context);
  }
  cr_assert(step.commands.size() >= 3);
  const auto sent = std::get<order_target>(step.commands.back());
  cr_assert(std::holds_alternative<release_cache>(sent.body));
  target_order_answered answer;
  answer.id = sent.id;
  answer.ok = true;
  cr_assert(subject.Receive(answer, context));
  cr_assert(subject.orders().open() == 0);
  cr_assert(subject.CachedTokens(target_id("e0"), session_id("s")) == 0);
}

// A gap in the event numbers means that cache events were lost, so the cache
// contents must be listed again.
Test(memory_events, order_a_listing_after_a_gap) {
  configuration settings = MakeSettings(1, 1, 4);
  fake_view view("d0", 1, &settings);
  engine_memory subject(view);
  step_fixture step;
  node_context context = step.Context();
  target_cache_event event;
  event.target = target_id("e0");
  event.session = session_id("s");
  event.number = 1;
  event.tokens = 10;
  subject.Receive(event, context);
  cr_assert(step.commands.empty());
  event.number = 3;
  subject.Receive(event, context);
  cr_assert(step.commands.size() == 1);
  const auto& sent = std::get<order_target>(step.commands[0]);
  cr_assert(std::holds_alternative<list_cache>(sent.body));
}

// Guards against assigning calls to a target that the platform is removing.
Test(pool_targets, a_leaving_target_gets_nothing) {
  configuration settings = MakeSettings(1, 2, 4);
  fake_view view("d0", 1, &settings);
  engine_memory memory(view);
  retry_policy retries;
  pool_scheduler subject(pool_id("p"), view, memory, retries);
  host_list_received list;
  list.entries.push_back(host_list_entry{"e0", true});
  memory.Receive(list);
  const steady_time now = steady_time(std::chrono::hours(1));
  for (ticket_id ticket = 1; ticket <= 8; ++ticket) {
    subject.Submit({view.self(), ticket}, MakeItem(ticket, "t"), {}, now);
  }
  const auto decisions = subject.Assign(1, now);
  cr_assert(decisions.size() == 4);
  for (const slot_decision& each : decisions) {
    cr_assert(each.target == target_id("e1"));
  }
}
