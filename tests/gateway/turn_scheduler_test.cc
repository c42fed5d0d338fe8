#include <criterion/criterion.h>

#include <map>
#include <set>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

target_table Engines(int count, int slots) {
  std::vector<target_record> listing;
  for (int i = 0; i < count; ++i) {
    target_record record;
    record.id = "engine-" + std::to_string(i);
    record.service = "model";
    record.slots = slots;
    listing.push_back(record);
  }
  target_table table;
  table.Update(listing, At(0));
  return table;
}

waiting_turn Turn(turn_ticket ticket,
                  const std::string& program,
                  int priority = 0,
                  int finish_ms = 10'000) {
  waiting_turn turn;
  turn.ticket = ticket;
  turn.program = program;
  turn.service = "model";
  turn.priority = priority;
  turn.finish_by = At(finish_ms);
  turn.deadline = At(4'000);
  turn.reject_at = At(1'000);
  return turn;
}

// Reports turns that were this much slower than on an idle engine.
void Report(turn_scheduler& scheduler, int times, int interval_ms) {
  for (int i = 0; i < times; ++i) {
    scheduler.AddSample("model", {"engine-0", milliseconds(interval_ms)});
  }
}

}  // namespace

// Guards against a burst of programs that overloads the engines and makes every
// program late.
Test(turn_scheduler, a_burst_waits_once_engines_slow_down) {
  const target_table engines = Engines(2, 32);
  turn_scheduler scheduler(engines);
  scheduler.Add(Turn(1, "first"));
  scheduler.Advance(At(1));
  const double before = scheduler.ConcurrencyLimit("model");
  Report(scheduler, 1, 20);
  Report(scheduler, 200, 80);
  cr_assert(scheduler.ConcurrencyLimit("model") < before / 2);
  for (turn_ticket ticket = 2; ticket < 100; ++ticket) {
    scheduler.Add(Turn(ticket, "p" + std::to_string(ticket)));
  }
  scheduler.Advance(At(2));
  cr_assert(scheduler.waiting() > 50);
  cr_assert(static_cast<double>(scheduler.running()) <=
            scheduler.ConcurrencyLimit("model") + 1);
  // The limit rises once the engines are fast again.
  Report(scheduler, 400, 22);
  cr_assert(scheduler.ConcurrencyLimit("model") > before);
}

// Guards against the wrong order under overload: programs that can still finish
// in time go before late ones, urgent routes before others, and programs with
// excessive use go last.
Test(turn_scheduler, orders_by_excess_lateness_rank_and_due_time) {
  const target_table engines = Engines(1, 4);
  turn_scheduler scheduler(engines);
  scheduler.Add(Turn(1, "fills-1"));
  scheduler.Add(Turn(2, "fills-2"));
  cr_assert(scheduler.Advance(At(1)).size() == 2);
  waiting_turn endless = Turn(3, "endless");
  endless.is_excessive = true;
  scheduler.Add(endless);
  scheduler.Add(Turn(4, "late", 0, 100));
  scheduler.Add(Turn(5, "less-urgent", 1, 5'000));
  scheduler.Add(Turn(6, "due-later", 0, 9'000));
  scheduler.Add(Turn(7, "due-soon", 0, 5'000));
  cr_assert(scheduler.Advance(At(2)).empty());
  std::vector<turn_ticket> order;
  turn_ticket ended = 1;
  for (int i = 0; i < 5; ++i) {
    scheduler.Remove(ended);
    const auto started = scheduler.Advance(At(3));
    cr_assert(started.size() == 1);
    ended = started.front().ticket;
    order.push_back(ended);
  }
  cr_assert(order == std::vector<turn_ticket>({7, 6, 5, 4, 3}));
}

// Guards against a turn that is refused only at its caller's deadline, when the
// caller can no longer retry.
Test(turn_scheduler, refuses_a_turn_that_waited_for_too_long) {
  const target_table engines = Engines(1, 4);
  turn_scheduler scheduler(engines);
  scheduler.Add(Turn(1, "a"));
  scheduler.Add(Turn(2, "b"));
  scheduler.Advance(At(1));
  scheduler.Add(Turn(3, "c"));
  cr_assert(scheduler.Advance(At(999)).empty());
  const auto decisions = scheduler.Advance(At(1'000));
  cr_assert(decisions.size() == 1);
  cr_assert(!decisions.front().admitted);
  cr_assert(scheduler.waiting() == 0);
}

// Guards against moving a program between turns, which makes another engine
// process its whole prompt.
Test(turn_scheduler, keeps_a_program_at_its_engine) {
  const target_table engines = Engines(5, 32);
  turn_scheduler scheduler(engines);
  std::set<std::string> used;
  for (turn_ticket ticket = 1; ticket <= 6; ++ticket) {
    scheduler.Add(Turn(ticket, "program"));
    used.insert(scheduler.Advance(At(1)).front().target);
    scheduler.Remove(ticket);
  }
  cr_assert(used.size() == 1);
}

// Guards against a slow engine that is sent as many new programs as others.
Test(turn_scheduler, places_new_programs_by_load_and_speed) {
  target_table engines = Engines(3, 32);
  turn_scheduler scheduler(engines);
  scheduler.AddSample("model", {"engine-0", milliseconds(60)});
  scheduler.AddSample("model", {"engine-1", milliseconds(20)});
  scheduler.AddSample("model", {"engine-2", milliseconds(20)});
  std::map<std::string, int> placed;
  for (turn_ticket ticket = 1; ticket <= 35; ++ticket) {
    scheduler.Add(Turn(ticket, "p" + std::to_string(ticket)));
    for (const turn_decision& decision : scheduler.Advance(At(1))) {
      ++placed[decision.target];
    }
  }
  cr_assert(placed["engine-0"] > 0);
  cr_assert(placed["engine-0"] * 2 < placed["engine-1"]);
  cr_assert(placed["engine-0"] * 2 < placed["engine-2"]);
}

// Guards against a program that stays assigned to an engine that has left.
Test(turn_scheduler, moves_programs_of_an_engine_that_leaves) {
  target_table engines = Engines(2, 8);
  turn_scheduler scheduler(engines);
  scheduler.Add(Turn(1, "program"));
  const std::string first = scheduler.Advance(At(1)).front().target;
  scheduler.Remove(1);
  target_record left;
  left.id = first == "engine-0" ? "engine-1" : "engine-0";
  left.service = "model";
  left.slots = 8;
  engines.Update({left}, At(1'000));
  scheduler.Add(Turn(2, "program"));
  cr_assert(scheduler.Advance(At(1'001)).front().target == left.id);
}

// Guards against turns whose end report was lost and that count as running
// forever.
Test(turn_scheduler, forgets_turns_after_their_deadline) {
  const target_table engines = Engines(1, 4);
  turn_scheduler scheduler(engines);
  scheduler.Add(Turn(1, "a"));
  scheduler.Add(Turn(2, "b"));
  cr_assert(scheduler.Advance(At(1)).size() == 2);
  scheduler.Advance(At(4'600));
  cr_assert(scheduler.running() == 0);
}

// Guards against daemons that each send an engine as many turns as it takes
// from all of them, and against turns that wait while other engines are idle.
Test(turn_scheduler, an_engine_with_a_limit_gets_a_share_from_each_daemon) {
  constexpr int kDaemons = 4;
  constexpr double kLimit = 8;
  target_table engines = Engines(2, 64);
  engines.LearnLimit("engine-0", {kLimit, At(0)});
  turn_scheduler scheduler(engines);
  scheduler.SetDaemonCount(kDaemons);
  std::map<std::string, int> placed;
  turn_ticket ticket = 0;
  for (int ms = 10; ms < 4'010; ms += 40) {
    const std::string program = "p" + std::to_string(++ticket);
    scheduler.Add(Turn(ticket, program, 0, 60'000));
    for (const turn_decision& decision : scheduler.Advance(At(ms))) {
      ++placed[decision.target];
      scheduler.Remove(decision.ticket);
    }
  }
  cr_assert(placed["engine-0"] >= 6 && placed["engine-0"] <= 9, "%d",
            placed["engine-0"]);
  cr_assert(placed["engine-0"] + placed["engine-1"] == 100);
}

// Guards against refusing turns because all engines have a limit.
Test(turn_scheduler, engines_with_limits_are_used_if_there_are_no_others) {
  target_table engines = Engines(2, 64);
  engines.LearnLimit("engine-0", {1.0, At(0)});
  engines.LearnLimit("engine-1", {1.0, At(0)});
  turn_scheduler scheduler(engines);
  std::map<std::string, int> placed;
  for (turn_ticket ticket = 1; ticket <= 20; ++ticket) {
    scheduler.Add(Turn(ticket, "p" + std::to_string(ticket)));
    for (const turn_decision& decision : scheduler.Advance(At(10))) {
      ++placed[decision.target];
      scheduler.Remove(decision.ticket);
    }
  }
  cr_assert(placed["engine-0"] + placed["engine-1"] == 20);
  cr_assert(placed["engine-0"] > 2 && placed["engine-1"] > 2);
}
