// Tests which tokens of a program stay claimed when the daemon that claimed
// them fails, and how claims and releases share a call.
#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gateway/claim_store.h"
#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;
using gentian::testing::claim_store;

namespace {

constexpr std::int64_t kBudget = 4'480;
constexpr std::int64_t kMaxTurnTokens = 560;
constexpr std::int64_t kUsedTokens = 140;
constexpr milliseconds kIdle{600};

steady_time At(int ms) {
  // Later than the time at which an unused account was last used.
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

token_request Turn(budget_ticket ticket) {
  return {"program", kBudget, kMaxTurnTokens, ticket, false, true};
}

// Requests turns and returns how many are granted.
int Grant(claim_store& store, budget_ledger& ledger, int turns, int now_ms) {
  int granted = 0;
  for (int i = 0; i < turns; ++i) {
    granted += store.Run(ledger, ledger.Reserve(Turn(1), At(now_ms)));
  }
  return granted;
}

// Ends granted turns with kUsedTokens each.
void Settle(claim_store& store, budget_ledger& ledger, int turns, int now_ms) {
  for (int i = 0; i < turns; ++i) {
    store.Run(ledger, ledger.Settle("program", kMaxTurnTokens, kUsedTokens,
                                    At(now_ms)));
  }
}

}  // namespace

// Guards against a program that is told that its budget is spent because a
// daemon that was killed had claimed tokens that no turn used.
Test(budget_release, a_killed_daemon_leaves_only_used_tokens_claimed) {
  constexpr int kTurns = 4;
  claim_store store;
  std::int64_t used = 0;
  for (int start = 0; start < 3; ++start) {
    const int now = start * 10'000;
    budget_ledger daemon("start-" + std::to_string(start));
    cr_assert(Grant(store, daemon, kTurns, now) == kTurns);
    Settle(store, daemon, kTurns, now + 200);
    used += kTurns * kUsedTokens;
    store.Run(daemon, daemon.ReleaseIdle(At(now + 1'000) - kIdle, At(0), 1));
    cr_assert(store.claimed() == used, "claimed %d",
              static_cast<int>(store.claimed()));
    cr_assert(
        !daemon.HasIdle(At(now + 1'000) - kIdle, At(now + 1'000) - kIdle));
  }
}

// Guards against a release of tokens between two turns of a program that soon
// follow each other: each release costs a call, and the claim after it another.
Test(budget_release, tokens_are_kept_while_turns_follow_each_other) {
  claim_store store;
  budget_ledger daemon("daemon");
  token_request request = Turn(1);
  request.recorder = "disk";
  for (int turn = 0; turn < 6; ++turn) {
    const int now = turn * 500;
    cr_assert(store.Run(daemon, daemon.Reserve(request, At(now))) == 1);
    Settle(store, daemon, 1, now + 100);
    cr_assert(!daemon.HasIdle(At(now + 400) - kIdle, At(now + 400) - kIdle));
  }
}

// Guards against a call for each program that pauses: a successor finds in the
// record what is in use of the tokens claimed ahead.
Test(budget_release, recorded_tokens_are_kept_for_a_program_that_pauses) {
  claim_store store;
  budget_ledger daemon("daemon");
  token_request request = Turn(1);
  request.recorder = "disk";
  cr_assert(store.Run(daemon, daemon.Reserve(request, At(0))) == 1);
  Settle(store, daemon, 1, 100);
  cr_assert(store.claimed() == kMaxTurnTokens + kBudget / 4);
  cr_assert(!daemon.HasIdle(At(10'000), At(100)));
  cr_assert(daemon.HasIdle(At(100), At(10'000)));
  store.Run(daemon, daemon.ReleaseIdle(At(0), At(10'000), 1));
  cr_assert(store.claimed() == kUsedTokens);
}

// Guards against tokens of ended turns that stay claimed as long as another
// turn of the program begins from time to time.
Test(budget_release, a_running_program_keeps_few_tokens_ahead) {
  constexpr int kTurns = 6;
  claim_store store;
  budget_ledger daemon("daemon");
  cr_assert(Grant(store, daemon, kTurns, 0) == kTurns);
  Settle(store, daemon, kTurns - 1, 100);
  for (int now = 500; now < 1'000; now += 100) {
    // Granted from what is available.
    cr_assert(Grant(store, daemon, 1, now) == 1);
    Settle(store, daemon, 1, now + 50);
  }
  cr_assert(daemon.HasIdle(At(1'000) - kIdle, At(0)));
  store.Run(daemon, daemon.ReleaseIdle(At(1'000) - kIdle, At(0), 1));
  const std::int64_t in_use = kMaxTurnTokens + (kTurns + 4) * kUsedTokens;
  cr_assert(store.claimed() == in_use, "claimed %d, in use %d",
            static_cast<int>(store.claimed()), static_cast<int>(in_use));
}

// Guards against a budget that is used up by what daemons that were killed
// while a program ran had claimed ahead for it.
Test(budget_release, claims_ahead_take_at_most_half_of_a_budget) {
  claim_store store;
  int granted = 0;
  for (int start = 0; start < 20; ++start) {
    budget_ledger daemon("start-" + std::to_string(start));
    granted += Grant(store, daemon, 1, start);
  }
  cr_assert(granted >= kBudget / 2 / kMaxTurnTokens, "granted %d", granted);
  cr_assert(granted * kMaxTurnTokens <= kBudget);
}

// Guards against tokens that stay claimed because the daemon that granted a
// turn is gone at the turn's end.
Test(budget_release, another_daemon_releases_what_a_turn_has_left) {
  constexpr int kTurns = 8;
  claim_store store;
  budget_ledger owner("owner");
  cr_assert(Grant(store, owner, kTurns, 0) == kTurns);
  budget_ledger other("other");
  Settle(store, other, kTurns, 100);
  for (int round = 0; round < 2; ++round) {
    // The first round reads the claim.
    store.Run(other, other.ReleaseIdle(At(1'000) - kIdle, At(0), 1));
  }
  cr_assert(store.claimed() == kTurns * kUsedTokens);
  budget_ledger next("next");
  cr_assert(Grant(store, next, 6, 2'000) == 6);
}

// Guards against tokens that a caller got and that no claim shows, because the
// program sent no more turns after an outage. The next daemon would start
// another turn of the program unclaimed in the next outage.
Test(budget_release, what_was_used_unclaimed_is_claimed_without_another_turn) {
  for (const bool is_spent : {false, true}) {
    claim_store store;
    if (is_spent) {
      budget_ledger earlier("earlier");
      cr_assert(Grant(store, earlier, 8, 0) == 8);
    }
    budget_ledger owner("owner");
    token_request request = Turn(1);
    request.may_start_unclaimed = true;
    owner.Reserve(request, At(0));
    owner.OnNoAnswer("program", false);
    const budget_commands granted = owner.OnNoAnswer("program", false);
    cr_assert(granted.decisions.size() == 1);
    cr_assert(granted.decisions[0].outcome == budget_decision::granted);
    cr_assert(!granted.decisions[0].is_claimed);
    owner.Settle("program", kMaxTurnTokens, kUsedTokens, At(200));
    for (int round = 0; round < 2; ++round) {
      for (const std::string& program : owner.UnresolvedPrograms()) {
        store.Run(owner, owner.Resolve(program));
      }
    }
    cr_assert(store.claimed() == (is_spent ? kBudget : 0) + kUsedTokens);
    cr_assert(owner.UnresolvedPrograms().empty());
  }
}

namespace {

// Stored claims of several programs, written in batches.
class batch_store {
 public:
  using write = budget_commands::write;

  bool Carry(const std::vector<write>& writes) {
    const bool holds =
        std::all_of(writes.begin(), writes.end(), [this](const write& next) {
          return items_[next.program].version == next.expected_version;
        });
    if (holds) {
      ++revision_;
      for (const write& next : writes) {
        items_[next.program] = {revision_, DecodeClaim(next.value)};
      }
    }
    return holds;
  }

  /** Reports the outcome of a batch that was carried out or found another
      version. */
  budget_commands Report(budget_ledger& ledger,
                         const std::vector<write>& writes,
                         bool is_carried) {
    budget_commands commands;
    for (const write& next : writes) {
      const item& stored = items_[next.program];
      if (is_carried) {
        commands.Append(ledger.OnWritten(next.program, stored.version));
      } else if (stored.version == next.expected_version) {
        commands.Append(ledger.OnNotCarriedOut(next.program));
      } else {
        commands.Append(
            ledger.OnConflict(next.program, stored.version, stored.claim));
      }
    }
    return commands;
  }

  std::int64_t Claimed(const std::string& program) {
    const item& stored = items_[program];
    return stored.claim ? stored.claim->claimed : 0;
  }

 private:
  struct item {
    std::uint64_t version = 0;
    std::optional<budget_claim> claim;
  };

  std::uint64_t revision_ = 0;
  std::map<std::string, item> items_;
};

// Two daemons with some programs whose claims are written in batches.
struct batch_run {
  explicit batch_run(std::uint64_t seed, bool loses_answers)
      : random(seed), may_lose(loses_answers) {}

  static std::string NameOf(std::uint64_t program) {
    return "program-" + std::to_string(program);
  }

  void Step(int now) {
    const std::size_t i = random.Below(ledgers.size());
    const std::string program = NameOf(random.Below(kPrograms));
    budget_ledger& ledger = ledgers[i];
    budget_commands commands;
    switch (random.Below(4)) {
      case 0:
        commands = ledger.Reserve(
            {program, kBudget, kMaxTurnTokens, ++ticket, false, i == 0},
            At(now));
        programs[ticket] = program;
        break;
      case 1:
        if (running[i][program] > 0) {
          --running[i][program];
          const auto spent =
              static_cast<std::int64_t>(random.Below(kMaxTurnTokens + 1));
          used[program] += spent;
          commands = ledger.Settle(program, kMaxTurnTokens, spent, At(now));
        }
        break;
      case 2:
        commands = ledger.ReleaseIdle(At(now), At(now), kPrograms);
        break;
      default:
        commands = ledger.Resolve(program);
        break;
    }
    Run(i, std::move(commands), now);
  }

  void Run(std::size_t i, budget_commands commands, int now) {
    while (true) {
      for (const auto& decision : commands.decisions) {
        const bool granted = decision.outcome == budget_decision::granted;
        running[i][programs[decision.ticket]] += granted ? 1 : 0;
      }
      if (commands.writes.empty()) {
        return;
      }
      // Releases of other programs share the call.
      budget_commands idle =
          ledgers[i].ReleaseIdle(At(now - 5), At(now - 5), kPrograms);
      idle.Append(std::move(commands));
      const auto writes = idle.writes;
      commands = budget_commands();
      if (may_lose && random.Below(6) == 0) {
        const bool may_have_run = random.Below(2) == 0;
        if (may_have_run && random.Below(2) == 0) {
          store.Carry(writes);
        }
        for (const auto& next : writes) {
          commands.Append(ledgers[i].OnNoAnswer(next.program, may_have_run));
        }
      } else {
        const bool is_carried = store.Carry(writes);
        commands = store.Report(ledgers[i], writes, is_carried);
      }
    }
  }

  std::int64_t InUse(const std::string& program) {
    return used[program] +
           kMaxTurnTokens * (running[0][program] + running[1][program]);
  }

  static constexpr std::uint64_t kPrograms = 3;

  seeded_random random;
  bool may_lose;
  batch_store store;
  std::array<budget_ledger, 2> ledgers = {budget_ledger("a"),
                                          budget_ledger("b")};
  std::array<std::map<std::string, std::int64_t>, 2> running;
  std::map<std::string, std::int64_t> used;
  std::map<budget_ticket, std::string> programs;
  budget_ticket ticket = 0;
};

}  // namespace

// Guards against a token that is granted twice because a batch of writes that
// found one other version, or that had no answer, counts as carried out.
Test(budget_release, batches_never_grant_a_token_twice) {
  constexpr std::uint64_t kSeeds = 1'000;
  constexpr int kSteps = 120;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    batch_run run(seed, true);
    for (int step = 0; step < kSteps; ++step) {
      run.Step(step);
      for (std::uint64_t i = 0; i < batch_run::kPrograms; ++i) {
        const std::string program = batch_run::NameOf(i);
        cr_assert(run.InUse(program) <= kBudget, "seed %d step %d",
                  static_cast<int>(seed), step);
        cr_assert(run.store.Claimed(program) >= run.InUse(program),
                  "seed %d step %d", static_cast<int>(seed), step);
      }
    }
  }
}

// Guards against tokens that are lost to a program although every answer came.
Test(budget_release, batches_lose_no_token) {
  constexpr std::uint64_t kSeeds = 500;
  constexpr int kSteps = 120;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    batch_run run(seed, false);
    for (int step = 0; step < kSteps; ++step) {
      run.Step(step);
    }
    for (int round = 0; round < 3; ++round) {
      for (std::size_t i = 0; i < run.ledgers.size(); ++i) {
        const int now = kSteps + 10'000 * (round + 1);
        run.Run(
            i,
            run.ledgers[i].ReleaseIdle(At(now), At(now), batch_run::kPrograms),
            now);
      }
    }
    for (std::uint64_t i = 0; i < batch_run::kPrograms; ++i) {
      const std::string program = batch_run::NameOf(i);
      cr_assert(run.store.Claimed(program) == run.InUse(program),
                "seed %d program %d", static_cast<int>(seed),
                static_cast<int>(i));
    }
  }
}

// Guards against a program that is told that its budget is spent by a daemon
// that substitutes for the owner, while the owner may hold unused tokens.
Test(budget_release, a_substitute_does_not_end_a_program) {
  claim_store store;
  budget_ledger owner("owner");
  cr_assert(Grant(store, owner, 8, 0) == 8);
  budget_ledger substitute("substitute");
  token_request request = Turn(1);
  request.claim_ahead = false;
  request.others_may_release = true;
  budget_commands commands = substitute.Reserve(request, At(100));
  while (!commands.writes.empty()) {
    commands = store.Carry(substitute, commands.writes.front());
  }
  cr_assert(commands.decisions.size() == 1);
  cr_assert(commands.decisions[0].outcome == budget_decision::unavailable);
}
