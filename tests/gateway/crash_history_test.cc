// Tests how a request that crashes targets is told from those that were only
// running there.
#include <criterion/criterion.h>

#include <set>
#include <string>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

constexpr std::size_t kTargets = 10;

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

target_crash Crash(const std::string& target, int sent_ms, int ended_ms) {
  return {"r", target, 1, At(sent_ms), At(ended_ms), false, kTargets};
}

const crash_history::answered_since kNone = [](const target_crash&) {
  return false;
};

bool IsOver(const crash_history& history) {
  return history.IsOverLimit("r", kNone);
}

}  // namespace

// Guards against a request that is sent on although it has ended three targets,
// in whichever order the gateways report them.
Test(crash_history, counts_targets_that_end_one_after_the_other) {
  crash_history history;
  cr_assert(!IsOver(history));
  history.Add("r", Crash("c", 420, 500), At(600));
  history.Add("r", Crash("a", 0, 100), At(600));
  cr_assert(!IsOver(history));
  history.Add("r", Crash("b", 200, 300), At(600));
  cr_assert(IsOver(history));
  cr_assert(history.IsSuspect("r"));
  cr_assert(!history.IsSuspect("other"));
}

// Guards against blocking a request because two gateways report the same end of
// a target, or because its second send met the same one.
Test(crash_history, counts_each_end_of_a_target_once) {
  crash_history history;
  history.Add("r", Crash("a", 0, 100), At(600));
  history.Add("r", Crash("a", 101, 102), At(600));
  history.Add("r", Crash("a", 0, 100), At(700));
  history.Add("r", Crash("b", 200, 300), At(700));
  cr_assert(!IsOver(history));
  // The target may have started again under its ID.
  target_crash again = Crash("a", 400, 500);
  again.target_start = 2;
  history.Add("r", again, At(700));
  cr_assert(IsOver(history));
}

// Guards against blocking what was in flight when a whole failure domain lost
// its power: many runs of a frequent request end at the same moment.
Test(crash_history, targets_that_end_together_count_once) {
  crash_history history;
  for (int i = 0; i < 6; ++i) {
    history.Add("r", Crash("t" + std::to_string(i), 10 * i, 100 + i), At(600));
  }
  cr_assert(!IsOver(history));
}

// Guards against refusing all requests of a team that have one path because one
// of them ends targets.
Test(crash_history, an_origin_needs_crashes_of_different_contents) {
  crash_history history;
  for (int i = 0; i < 5; ++i) {
    target_crash crash = Crash("t" + std::to_string(i), 100 * i, 100 * i + 50);
    crash.content = "one";
    history.Add("r", crash, At(600));
  }
  cr_assert(!IsOver(history));
  target_crash other = Crash("last", 600, 650);
  other.content = "two";
  history.Add("r", other, At(700));
  cr_assert(IsOver(history));
}

// Guards against losing all targets of a small service to one request.
Test(crash_history, two_crashes_are_enough_if_the_service_has_few_targets) {
  for (const std::size_t targets : {1, 2, 3}) {
    crash_history history;
    target_crash first = Crash("a", 0, 100);
    first.service_targets = targets;
    history.Add("r", first, At(600));
    cr_assert(!IsOver(history));
    target_crash second = Crash("b", 200, 300);
    second.service_targets = targets;
    history.Add("r", second, At(600));
    cr_assert(IsOver(history), "%zu", targets);
  }
}

// Guards against blocking requests that only ran at targets that another
// request crashed: they have mostly got a part of their answers.
Test(crash_history, a_partial_answer_counts_half) {
  crash_history history;
  for (int i = 0; i < 6; ++i) {
    cr_assert(!IsOver(history));
    target_crash crash = Crash("t" + std::to_string(i), 100 * i, 100 * i + 50);
    crash.has_answered_partly = true;
    history.Add("r", crash, At(600));
  }
  cr_assert(IsOver(history));
}

// Guards against taking connections that a living target has closed for its
// end.
Test(crash_history, a_target_that_answers_has_not_crashed) {
  crash_history history;
  history.Add("r", Crash("a", 0, 100), At(600));
  history.Add("r", Crash("b", 200, 300), At(600));
  history.Add("r", Crash("c", 400, 500), At(600));
  const std::set<std::string> living = {"b"};
  cr_assert(IsOver(history));
  cr_assert(!history.IsOverLimit("r", [&living](const target_crash& crash) {
    return living.count(crash.target) > 0;
  }));
}

// Guards against blocking a request that targets do answer, and against an old
// answer that clears later crashes.
Test(crash_history, an_answer_clears_the_crashes_before_it) {
  crash_history history;
  cr_assert(!history.AddAnswer("r", At(50)));
  history.Add("r", Crash("a", 0, 100), At(600));
  history.Add("r", Crash("b", 200, 300), At(600));
  history.Add("r", Crash("c", 400, 500), At(600));
  cr_assert(history.AddAnswer("r", At(50)));
  cr_assert(IsOver(history));
  cr_assert(history.AddAnswer("r", At(150)));
  cr_assert(!IsOver(history));
  cr_assert(history.CrashesOf("r").size() == 2);
  cr_assert(history.AddAnswer("r", At(500)));
  cr_assert(!history.IsSuspect("r"));
}

// Guards against memory that grows with each request that was ever broken off.
Test(crash_history, is_bounded_and_forgets) {
  crash_history history;
  constexpr int kRequests = 20'000;
  for (int i = 0; i < kRequests; ++i) {
    history.Add("r" + std::to_string(i), Crash("a", 0, 100), At(600));
  }
  int suspects = 0;
  for (int i = 0; i < kRequests; ++i) {
    suspects += history.IsSuspect("r" + std::to_string(i)) ? 1 : 0;
  }
  cr_assert(suspects == 4'096, "%d", suspects);
  history.Add("late", Crash("a", 0, 100), At(16 * 60'000));
  cr_assert(!history.IsSuspect("r0"));
  cr_assert(history.IsSuspect("late"));
}

// Guards against a request that ends three targets again each minute.
Test(blocked_requests, each_further_block_is_longer) {
  blocked_requests blocked;
  cr_assert(blocked.Block("r", At(0)) == milliseconds(60'000));
  cr_assert(blocked.Block("r", At(10)) == milliseconds(0));
  cr_assert(blocked.TimeLeft("r", At(59'999)) == milliseconds(1));
  cr_assert(blocked.TimeLeft("r", At(60'000)) == milliseconds(0));
  cr_assert(blocked.TimeLeft("other", At(0)) == milliseconds(0));
  cr_assert(blocked.Current(At(0)).size() == 1);
  cr_assert(blocked.Current(At(60'000)).empty());
  cr_assert(blocked.Block("r", At(60'001)) == milliseconds(120'000));
  // After an answer, it starts anew.
  blocked.Remove("r");
  cr_assert(blocked.Block("r", At(200'000)) == milliseconds(60'000));
  // A block that another gateway has decided counts too.
  cr_assert(blocked.Add("s", milliseconds(500), At(0)));
  cr_assert(!blocked.Add("s", milliseconds(900), At(100)));
  cr_assert(blocked.TimeLeft("s", At(100)) == milliseconds(400));
  cr_assert(blocked.Block("s", At(600)) == milliseconds(120'000));
}

// Guards against memory that grows with each request that was answered.
Test(recent_answers, keeps_the_latest_ones) {
  recent_answers answers;
  for (int i = 0; i < 3'000; ++i) {
    answers.Add("r" + std::to_string(i), At(i));
  }
  cr_assert(!answers.Find("r0"));
  cr_assert(answers.Find("r2999") == At(2'999));
  answers.Add("r2999", At(5'000));
  cr_assert(answers.Find("r2999") == At(5'000));
}
