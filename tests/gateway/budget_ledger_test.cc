#include <criterion/criterion.h>

#include <array>
#include <vector>

#include "gateway/claim_store.h"
#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;
using gentian::testing::claim_store;

namespace {

constexpr std::int64_t kBudget = 1'767;
constexpr std::int64_t kMaxTurnTokens = 589;

steady_time At(int seconds) {
  return steady_time(std::chrono::seconds(seconds));
}

token_request Turn(budget_ticket ticket, bool may_start_unclaimed = false) {
  return {"program",           kBudget, kMaxTurnTokens, ticket,
          may_start_unclaimed, true};
}

// Ends one of the ledger's running turns, if there is one, with a random number
// of tokens spent.
budget_commands SettleRandom(budget_ledger& ledger,
                             int& running,
                             std::int64_t& used,
                             seeded_random& random,
                             steady_time now) {
  if (running == 0) {
    return {};
  }
  --running;
  const auto spent =
      static_cast<std::int64_t>(random.Below(kMaxTurnTokens + 1));
  used += spent;
  return ledger.Settle("program", kMaxTurnTokens, spent, now);
}

}  // namespace

// Guards against a program that is refused with most of its budget unused,
// because daemons that could not reach its owner claimed more than their turns
// needed. With two daemons partitioned, 60 programs in 18 runs were refused.
Test(budget_ledger, stand_ins_claim_only_what_their_turns_need) {
  constexpr std::int64_t kLargeBudget = 11'500;
  constexpr int kDaemons = 6;
  claim_store store;
  std::vector<budget_ledger> ledgers;
  ledgers.reserve(kDaemons);
  for (int i = 0; i < kDaemons; ++i) {
    ledgers.emplace_back("daemon-" + std::to_string(i));
  }
  // One turn at each daemon; only the first one is the owner.
  for (int i = 0; i < kDaemons; ++i) {
    budget_ledger& ledger = ledgers[static_cast<std::size_t>(i)];
    const bool is_owner = i == 0;
    cr_assert(
        store.Run(ledger, ledger.Reserve({"program", kLargeBudget,
                                          kMaxTurnTokens, 1, false, is_owner},
                                         At(i))) == 1);
  }
  budget_ledger last("daemon-last");
  int granted = 0;
  for (budget_ticket ticket = 1; ticket <= 4; ++ticket) {
    granted +=
        store.Run(last, last.Reserve({"program", kLargeBudget, kMaxTurnTokens,
                                      ticket, false, true},
                                     At(kDaemons)));
  }
  cr_assert(granted == 4);
}

// Guards against a program that exceeds its budget by using several daemons.
Test(budget_ledger, daemons_together_grant_no_more_than_the_budget) {
  claim_store store;
  int granted = 0;
  for (int i = 0; i < 6; ++i) {
    budget_ledger daemon("daemon-" + std::to_string(i));
    for (budget_ticket ticket = 1; ticket <= 4; ++ticket) {
      granted += store.Run(daemon, daemon.Reserve(Turn(ticket), At(i)));
    }
  }
  cr_assert(granted * kMaxTurnTokens <= kBudget);
  cr_assert(granted > 0);
}

// Guards against a budget that a restarted daemon grants a second time.
Test(budget_ledger, a_restart_does_not_renew_a_budget) {
  claim_store store;
  int granted = 0;
  for (int start = 0; start < 5; ++start) {
    budget_ledger daemon("start-" + std::to_string(start));
    granted += store.Run(daemon, daemon.Reserve(Turn(1), At(start)));
  }
  cr_assert(granted * kMaxTurnTokens <= kBudget);
}

// Guards against tokens that are lost although a turn did not use them.
Test(budget_ledger, unused_tokens_serve_the_next_turn) {
  claim_store store;
  budget_ledger daemon("daemon");
  int granted = 0;
  for (int turn = 0; turn < 12; ++turn) {
    const bool ran = store.Run(daemon, daemon.Reserve(Turn(1), At(turn))) == 1;
    granted += ran ? 1 : 0;
    if (ran) {
      store.Run(daemon,
                daemon.Settle("program", kMaxTurnTokens, 100, At(turn)));
    }
  }
  cr_assert(granted == 12);
  cr_assert(daemon.UsedTokens("program") == 1'200);
}

// Guards against a write that is counted twice, or lost, because its answer
// did not come.
Test(budget_ledger, finds_out_whether_an_unanswered_write_took_effect) {
  for (const bool took_effect : {false, true}) {
    claim_store store;
    budget_ledger daemon("daemon");
    budget_commands commands = daemon.Reserve(Turn(1), At(0));
    cr_assert(commands.writes.size() == 1);
    if (took_effect) {
      store.RunUnanswered(commands.writes.front());
    }
    int granted = store.Run(daemon, daemon.OnNoAnswer("program", true));
    cr_assert(granted == 1);
    for (budget_ticket ticket = 2; ticket < 8; ++ticket) {
      granted += store.Run(daemon, daemon.Reserve(Turn(ticket), At(1)));
    }
    cr_assert(granted * kMaxTurnTokens <= kBudget);
    cr_assert(granted == 3);
  }
}

// Guards against a program that exceeds its budget in an outage of the
// key-value service, because each daemon that substitutes for the owner starts
// one turn unclaimed.
Test(budget_ledger, only_a_permitted_turn_starts_unclaimed) {
  budget_ledger stand_in("stand-in");
  stand_in.Reserve(Turn(1), At(0));
  stand_in.OnNoAnswer("program", false);
  budget_commands refused = stand_in.OnNoAnswer("program", false);
  cr_assert(refused.decisions.size() == 1);
  cr_assert(refused.decisions.front().outcome == budget_decision::unavailable);

  budget_ledger owner("owner");
  owner.Reserve(Turn(1, true), At(0));
  owner.OnNoAnswer("program", false);
  budget_commands granted = owner.OnNoAnswer("program", false);
  cr_assert(granted.decisions.front().outcome == budget_decision::granted);
  owner.Reserve(Turn(2, true), At(0));
  owner.OnNoAnswer("program", false);
  budget_commands second = owner.OnNoAnswer("program", false);
  cr_assert(second.decisions.front().outcome == budget_decision::unavailable);
}

// Guards against a turn that starts unclaimed and whose tokens are never
// claimed.
Test(budget_ledger, claims_an_unclaimed_turn_afterwards) {
  claim_store store;
  budget_ledger owner("owner");
  owner.Reserve(Turn(1, true), At(0));
  owner.OnNoAnswer("program", false);
  owner.OnNoAnswer("program", false);
  int granted = 1;
  for (budget_ticket ticket = 2; ticket < 8; ++ticket) {
    granted += store.Run(owner, owner.Reserve(Turn(ticket), At(1)));
  }
  cr_assert(granted == 3);
}

// Guards against a stopping daemon that keeps tokens which it does not use.
Test(budget_ledger, gives_unused_tokens_back) {
  claim_store store;
  budget_ledger leaving("leaving");
  cr_assert(store.Run(leaving, leaving.Reserve(Turn(1), At(0))) == 1);
  store.Run(leaving, leaving.Settle("program", kMaxTurnTokens, 0, At(0)));
  for (const auto& write : leaving.ReleaseAll()) {
    store.RunUnanswered(write);
  }
  budget_ledger next("next");
  int granted = 0;
  for (budget_ticket ticket = 1; ticket < 8; ++ticket) {
    granted += store.Run(next, next.Reserve(Turn(ticket), At(1)));
  }
  cr_assert(granted == 3);
  cr_assert(store.Run(leaving, leaving.Reserve(Turn(9), At(2))) == 0);
}

// Guards against a program that is refused with tokens unused, because its
// owner changed and the earlier one holds what it had claimed ahead.
Test(budget_ledger, an_earlier_owner_returns_what_it_does_not_use) {
  claim_store store;
  budget_ledger earlier("earlier");
  cr_assert(store.Run(earlier, earlier.Reserve(Turn(1), At(0))) == 1);
  // The turn was refused for another reason.
  store.Run(earlier, earlier.Settle("program", kMaxTurnTokens, 0, At(0)));
  const auto moved = [](const std::string&) { return true; };
  store.Run(earlier, earlier.ReleaseUnused(moved));
  budget_ledger next("next");
  int granted = 0;
  for (budget_ticket ticket = 1; ticket < 8; ++ticket) {
    granted += store.Run(next, next.Reserve(Turn(ticket), At(1)));
  }
  cr_assert(granted == 3);
  cr_assert(store.Run(earlier, earlier.Reserve(Turn(9), At(2))) == 0);
}

// Guards against a claim that is taken for final although another daemon has
// returned tokens since it was read.
Test(budget_ledger, reads_the_claim_again_before_a_budget_counts_as_spent) {
  claim_store store;
  budget_ledger earlier("earlier");
  for (budget_ticket ticket = 1; ticket <= 3; ++ticket) {
    cr_assert(store.Run(earlier, earlier.Reserve(Turn(ticket), At(0))) == 1);
  }
  budget_ledger next("next");
  cr_assert(store.Run(next, next.Reserve(Turn(4), At(0))) == 0);
  store.Run(earlier, earlier.Settle("program", kMaxTurnTokens, 0, At(0)));
  store.Run(earlier, earlier.ReleaseUnused("program"));
  cr_assert(store.Run(next, next.Reserve(Turn(5), At(1))) == 1);
}

// Guards against telling a program that its budget is spent, which ends it,
// while an earlier owner may still return tokens.
Test(budget_ledger, a_budget_is_not_spent_while_others_may_return_tokens) {
  claim_store store;
  budget_ledger earlier("earlier");
  for (budget_ticket ticket = 1; ticket <= 3; ++ticket) {
    store.Run(earlier, earlier.Reserve(Turn(ticket), At(0)));
  }
  const auto outcome_of = [&store](budget_ledger& ledger,
                                   const token_request& request) {
    budget_commands commands = ledger.Reserve(request, At(1));
    while (!commands.writes.empty()) {
      commands = store.Carry(ledger, commands.writes.front());
    }
    return commands.decisions.front().outcome;
  };
  budget_ledger next("next");
  token_request request = Turn(4);
  request.others_may_release = true;
  cr_assert(outcome_of(next, request) == budget_decision::unavailable);
  // The earlier owner may have failed with the tokens unused.
  request.others_may_release = false;
  cr_assert(outcome_of(next, request) == budget_decision::unavailable);
  // Its own claims are certain.
  request.others_may_release = true;
  cr_assert(outcome_of(earlier, request) == budget_decision::exhausted);
  // The turns have ended, and have used all that they were granted.
  for (int turn = 0; turn < 3; ++turn) {
    store.Run(earlier,
              earlier.Settle("program", kMaxTurnTokens, kMaxTurnTokens, At(2)));
  }
  for (int round = 0; round < 2; ++round) {
    // The first round reads the claim.
    store.Run(earlier, earlier.ReleaseIdle(At(3), At(3), 1));
  }
  request.others_may_release = false;
  cr_assert(outcome_of(next, request) == budget_decision::exhausted);
}

// Guards against tokens that are granted twice when releases and claims of two
// daemons cross and answers are lost.
Test(budget_ledger, releases_never_grant_a_token_twice) {
  constexpr std::uint64_t kSeeds = 300;
  constexpr int kSteps = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    seeded_random random(seed);
    claim_store store;
    std::array<budget_ledger, 2> ledgers = {budget_ledger("a"),
                                            budget_ledger("b")};
    std::int64_t used = 0;
    std::array<int, 2> running{};
    budget_ticket ticket = 0;
    for (int step = 0; step < kSteps; ++step) {
      const std::size_t i = random.Below(2);
      budget_commands commands;
      switch (random.Below(3)) {
        case 0:
          commands = ledgers[i].Reserve(Turn(++ticket), At(step));
          break;
        case 1:
          commands =
              SettleRandom(ledgers[i], running[i], used, random, At(step));
          break;
        default:
          commands = ledgers[i].ReleaseUnused("program");
          break;
      }
      while (true) {
        for (const auto& decision : commands.decisions) {
          running[i] += decision.outcome == budget_decision::granted ? 1 : 0;
        }
        if (commands.writes.empty()) {
          break;
        }
        const auto write = commands.writes.front();
        if (random.Below(5) == 0) {
          store.RunUnanswered(write);
          commands = ledgers[i].OnNoAnswer(write.program, true);
        } else {
          commands = store.Carry(ledgers[i], write);
        }
      }
      cr_assert(used + (running[0] + running[1]) * kMaxTurnTokens <= kBudget,
                "seed %d step %d", static_cast<int>(seed), step);
    }
  }
}

// Guards against tokens that are granted twice because a release is held up in
// a cut from the key-value service: its second try can't connect, and the first
// one runs when the cut has healed.
Test(budget_ledger, tokens_of_a_release_that_may_still_run_are_not_granted) {
  claim_store store;
  budget_ledger earlier("earlier");
  cr_assert(store.Run(earlier, earlier.Reserve(Turn(1), At(0))) == 1);
  store.Run(earlier, earlier.Settle("program", kMaxTurnTokens, 0, At(0)));
  store.HoldUp(earlier.ReleaseUnused("program").writes.front());
  cr_assert(earlier.OnNoAnswer("program", true).writes.size() == 1);
  cr_assert(earlier.OnNoAnswer("program", false).writes.empty());
  store.RunHeld();
  budget_ledger next("next");
  int granted = 0;
  for (budget_ticket ticket = 2; ticket < 8; ++ticket) {
    granted += store.Run(next, next.Reserve(Turn(ticket), At(1)));
    granted += store.Run(earlier, earlier.Reserve(Turn(ticket + 10), At(1)));
  }
  cr_assert(granted > 0 && granted * kMaxTurnTokens <= kBudget, "granted %d",
            granted);
}

// Guards against a release that counts as failed because another daemon has
// claimed the released tokens before its second try.
Test(budget_ledger, a_release_that_another_claim_follows_may_have_run) {
  claim_store store;
  budget_ledger earlier("earlier");
  cr_assert(store.Run(earlier, earlier.Reserve(Turn(1), At(0))) == 1);
  store.Run(earlier, earlier.Settle("program", kMaxTurnTokens, 0, At(0)));
  store.RunUnanswered(earlier.ReleaseUnused("program").writes.front());
  budget_ledger next("next");
  int granted = store.Run(next, next.Reserve(Turn(2), At(1)));
  granted += store.Run(earlier, earlier.OnNoAnswer("program", true));
  for (budget_ticket ticket = 3; ticket < 8; ++ticket) {
    granted += store.Run(earlier, earlier.Reserve(Turn(ticket), At(1)));
    granted += store.Run(next, next.Reserve(Turn(ticket + 10), At(1)));
  }
  cr_assert(granted * kMaxTurnTokens <= kBudget, "granted %d", granted);
}

// Guards against tokens that a program loses because the outcome of a write in
// an outage is never looked for.
Test(budget_ledger, the_outcome_of_a_write_is_found_out_after_an_outage) {
  for (const bool took_effect : {false, true}) {
    for (const bool is_release : {false, true}) {
      claim_store store;
      budget_ledger daemon("daemon");
      budget_commands commands = daemon.Reserve(Turn(1), At(0));
      if (is_release) {
        cr_assert(store.Run(daemon, commands) == 1);
        store.Run(daemon, daemon.Settle("program", kMaxTurnTokens, 0, At(0)));
        commands = daemon.ReleaseUnused("program");
      }
      if (took_effect) {
        store.RunUnanswered(commands.writes.front());
      }
      daemon.OnNoAnswer("program", true);
      daemon.OnNoAnswer("program", false);
      cr_assert(daemon.UnresolvedPrograms().size() == 1);
      store.Run(daemon, daemon.Resolve("program"));
      cr_assert(daemon.UnresolvedPrograms().empty());
      int granted = 0;
      for (budget_ticket ticket = 2; ticket < 8; ++ticket) {
        granted += store.Run(daemon, daemon.Reserve(Turn(ticket), At(1)));
      }
      cr_assert(granted == 3, "took effect %d, release %d: granted %d",
                took_effect ? 1 : 0, is_release ? 1 : 0, granted);
    }
  }
}

// Guards against a token that is granted twice in any order of tries that are
// carried out, lost with or without their answer, refused, or held up until
// later.
Test(budget_ledger, late_writes_never_grant_a_token_twice) {
  constexpr std::uint64_t kSeeds = 2'000;
  constexpr int kSteps = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    seeded_random random(seed);
    claim_store store;
    std::array<budget_ledger, 2> ledgers = {budget_ledger("a"),
                                            budget_ledger("b")};
    std::int64_t used = 0;
    std::array<int, 2> running{};
    budget_ticket ticket = 0;
    for (int step = 0; step < kSteps; ++step) {
      const std::size_t i = random.Below(2);
      budget_commands commands;
      switch (random.Below(5)) {
        case 0:
          commands = ledgers[i].Reserve(Turn(++ticket), At(step));
          break;
        case 1:
          commands =
              SettleRandom(ledgers[i], running[i], used, random, At(step));
          break;
        case 2:
          commands = ledgers[i].ReleaseUnused("program");
          break;
        case 3:
          commands = ledgers[i].Resolve("program");
          break;
        default:
          store.RunHeld();
          break;
      }
      while (true) {
        for (const auto& decision : commands.decisions) {
          running[i] += decision.outcome == budget_decision::granted ? 1 : 0;
        }
        if (commands.writes.empty()) {
          break;
        }
        const auto write = commands.writes.front();
        switch (random.Below(6)) {
          case 0:
            store.RunUnanswered(write);
            commands = ledgers[i].OnNoAnswer(write.program, true);
            break;
          case 1:
            store.HoldUp(write);
            commands = ledgers[i].OnNoAnswer(write.program, true);
            break;
          case 2:
            commands = ledgers[i].OnNoAnswer(write.program, false);
            break;
          default:
            commands = store.Carry(ledgers[i], write);
            break;
        }
      }
      cr_assert(used + (running[0] + running[1]) * kMaxTurnTokens <= kBudget,
                "seed %d step %d", static_cast<int>(seed), step);
    }
  }
}
