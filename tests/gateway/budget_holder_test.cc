// Tests that a successor finds out what is in use of the tokens that a daemon
// had claimed ahead, whenever that daemon was killed.
#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <memory>
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

steady_time At(int ms) {
  // Later than the time at which an unused account was last used.
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

token_request Turn(budget_ticket ticket) {
  token_request request{"program", kBudget, kMaxTurnTokens,
                        ticket,    false,   true};
  request.recorder = "disk";
  return request;
}

int Grant(claim_store& store, budget_ledger& ledger, int turns) {
  int granted = 0;
  for (int i = 0; i < turns; ++i) {
    granted += store.Run(ledger, ledger.Reserve(Turn(1), At(0)));
  }
  return granted;
}

void Settle(claim_store& store, budget_ledger& ledger, int turns) {
  for (int i = 0; i < turns; ++i) {
    store.Run(ledger,
              ledger.Settle("program", kMaxTurnTokens, kUsedTokens, At(0)));
  }
}

// The outcome of a turn that asks for tokens.
budget_decision Ask(claim_store& store, budget_ledger& ledger) {
  budget_commands commands = ledger.Reserve(Turn(1), At(0));
  while (commands.decisions.empty()) {
    cr_assert(store.CarryNext(ledger, commands));
  }
  return commands.decisions.front().outcome;
}

}  // namespace

// Guards against a budget that holds fewer tokens after each kill: turns that
// ended whole right before it count with what they used.
Test(budget_holder, kills_lose_no_token_that_no_turn_has_used) {
  constexpr int kTurns = 4;
  claim_store store;
  std::int64_t used = 0;
  for (int start = 0; start < 8; ++start) {
    budget_ledger daemon("start-" + std::to_string(start));
    const int affordable = static_cast<int>((kBudget - used) / kMaxTurnTokens);
    const int turns = std::min(kTurns, affordable);
    cr_assert(Grant(store, daemon, turns) == turns, "start %d", start);
    Settle(store, daemon, turns);
    used += turns * kUsedTokens;
  }
  cr_assert(used > kBudget - kMaxTurnTokens - kTurns * kUsedTokens);
}

// Guards against a claim of its own for each turn of a program: calls to the
// key-value service are scarce.
Test(budget_holder, turns_share_a_claim) {
  claim_store store;
  budget_ledger daemon("daemon");
  for (int turn = 0; turn < 8; ++turn) {
    cr_assert(store.Run(daemon, daemon.Reserve(Turn(1), At(turn))) == 1);
    store.Run(daemon,
              daemon.Settle("program", kMaxTurnTokens, kUsedTokens, At(turn)));
  }
  cr_assert(store.writes() == 1, "%d writes", store.writes());
}

// Guards against tokens that a frozen daemon grants after its successor has
// released them.
Test(budget_holder, a_daemon_that_returns_grants_nothing_of_its_old_claim) {
  claim_store store;
  budget_ledger frozen("frozen");
  cr_assert(Grant(store, frozen, 1) == 1);
  Settle(store, frozen, 1);
  budget_ledger next("next");
  int granted = Grant(store, next, 8);
  cr_assert(granted * kMaxTurnTokens + kUsedTokens <= kBudget);
  granted += Grant(store, frozen, 4);
  cr_assert(granted * kMaxTurnTokens + kUsedTokens <= kBudget, "granted %d",
            granted);
}

// Guards against a program that is told that its budget is spent while nobody
// knows what a daemon that failed has used, and against one that is never told
// so.
Test(budget_holder, only_what_turns_have_used_ends_a_program) {
  for (const bool is_used : {false, true}) {
    claim_store store;
    {
      budget_ledger killed("killed");
      cr_assert(Grant(store, killed, 8) == 8);
      for (int turn = 0; turn < 8; ++turn) {
        store.Run(killed, killed.Settle("program", kMaxTurnTokens,
                                        is_used ? kMaxTurnTokens : 0, At(0)));
      }
    }
    if (!is_used) {
      // Of a disk that is lost.
      store.records.Clear();
    }
    budget_ledger next("next");
    cr_assert(Ask(store, next) == (is_used ? budget_decision::exhausted
                                           : budget_decision::unavailable));
  }
}

// Guards against tokens that count as spent, because a turn store does not
// answer at a takeover.
Test(budget_holder, an_unreachable_record_is_asked_for_again) {
  claim_store store;
  {
    budget_ledger killed("killed");
    cr_assert(Grant(store, killed, 6) == 6);
    Settle(store, killed, 6);
  }
  budget_ledger next("next");
  budget_commands commands = next.Reserve(Turn(1), At(0));
  while (commands.questions.empty()) {
    cr_assert(store.CarryNext(next, commands));
  }
  const std::string claim = commands.questions.front().holder.write_id;
  commands = next.OnHolderUnresolved("program", claim, false);
  store.Run(next, std::move(commands));
  // It took what was left, and left the holder's tokens alone.
  cr_assert(store.stored()->holder->write_id == claim);
  cr_assert(Grant(store, next, 4) == 4);
  cr_assert(!store.stored()->holder ||
            store.stored()->holder->write_id != claim);
}

// Guards against a turn store that fails: without its record, nothing may be
// claimed ahead.
Test(budget_holder, without_a_record_only_what_is_in_use_stays_claimed) {
  claim_store store;
  budget_ledger daemon("daemon");
  budget_commands commands = daemon.Reserve(Turn(1), At(0));
  cr_assert(commands.records.size() == 1);
  const auto record = commands.records.front();
  cr_assert(store.Run(daemon, daemon.OnNotRecorded("program", record.write_id,
                                                   record.sequence)) == 1);
  cr_assert(store.claimed() == kMaxTurnTokens);
  cr_assert(!store.stored()->holder);
}

// Guards against a turn store that fails while tokens are claimed ahead.
Test(budget_holder, tokens_ahead_are_released_when_records_fail) {
  claim_store store;
  budget_ledger daemon("daemon");
  cr_assert(Grant(store, daemon, 1) == 1);
  cr_assert(store.claimed() > kMaxTurnTokens);
  const budget_commands commands = daemon.Reserve(Turn(2), At(0));
  cr_assert(commands.records.size() == 1 && commands.decisions.empty());
  const auto record = commands.records.front();
  cr_assert(store.Run(daemon, daemon.OnNotRecorded("program", record.write_id,
                                                   record.sequence)) == 1);
  cr_assert(store.claimed() == 2 * kMaxTurnTokens);
  cr_assert(!store.stored()->holder);
}

// Guards against tokens that a daemon has claimed ahead and that count as in
// use, because it was killed before it could record that they aren't.
Test(budget_holder, a_kill_between_two_calls_loses_no_tokens) {
  constexpr int kMaxTurns = 4;
  for (int turns = 1; turns <= kMaxTurns; ++turns) {
    bool is_finished = false;
    for (int calls = 0; !is_finished; ++calls) {
      claim_store store;
      {
        budget_ledger killed("killed");
        cr_assert(Grant(store, killed, turns - 1) == turns - 1);
        budget_commands commands = killed.Reserve(Turn(turns), At(0));
        for (int call = 0; call < calls && !is_finished; ++call) {
          is_finished = !store.CarryNext(killed, commands);
        }
      }
      budget_ledger next("next");
      const int left = kBudget / kMaxTurnTokens - turns;
      const int granted = Grant(store, next, left);
      cr_assert(granted == left, "%d of %d after %d turns and %d calls",
                granted, left, turns, calls);
    }
  }
}

// Guards against a claim of an earlier build that counts as unused.
Test(budget_holder, claims_of_earlier_builds_count_as_spent) {
  claim_store store;
  store.Put({kBudget - kMaxTurnTokens, "old-1"});
  budget_ledger next("next");
  cr_assert(Grant(store, next, 1) == 1);
  cr_assert(Ask(store, next) == budget_decision::exhausted);
}

namespace {

// Daemons that follow each other as the owner of a program, and return.
class succession {
 public:
  explicit succession(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      Restart(i);
    }
  }

  void Step() {
    const std::size_t i = random_.Below(daemons_.size());
    daemon& subject = daemons_[i];
    switch (random_.Below(8)) {
      case 0:
      case 1:
      case 2:
        Run(i, subject.ledger->Reserve(Request(), At(step_)));
        break;
      case 3:
      case 4:
        if (subject.running > 0) {
          --subject.running;
          const auto spent =
              static_cast<std::int64_t>(random_.Below(kMaxTurnTokens + 1));
          used_ += spent;
          Run(i, subject.ledger->Settle("program", kMaxTurnTokens, spent,
                                        At(step_)));
        }
        break;
      case 5:
        Run(i, subject.ledger->ReleaseIdle(At(step_), At(step_ - 20), 1));
        break;
      case 6:
        Run(i, subject.ledger->Resolve("program"));
        break;
      default:
        if (random_.Below(4) == 0) {
          // Its turns have used all of their tokens before they broke off.
          used_ += subject.running * kMaxTurnTokens;
          Restart(i);
        } else {
          store_.RunHeld();
          RunHeldRecords();
        }
        break;
    }
    ++step_;
  }

  std::int64_t InUse() const {
    std::int64_t tokens = used_;
    for (const daemon& next : daemons_) {
      tokens += next.running * kMaxTurnTokens;
    }
    return tokens;
  }
  std::int64_t claimed() const { return store_.claimed(); }

 private:
  struct daemon {
    std::unique_ptr<budget_ledger> ledger;
    int running = 0;
  };

  token_request Request() {
    token_request request = Turn(++ticket_);
    request.claim_ahead = random_.Below(4) != 0;
    if (random_.Below(8) == 0) {
      request.recorder.clear();
    }
    return request;
  }

  void Restart(std::size_t i) {
    daemons_[i] = {
        std::make_unique<budget_ledger>("start" + std::to_string(++starts_)),
        0};
  }

  void RunHeldRecords() {
    for (const auto& record : std::exchange(held_, {})) {
      store_.records.Store(record);
    }
  }

  budget_commands Carry(budget_ledger& ledger,
                        const budget_commands::write& write) {
    switch (random_.Below(8)) {
      case 0:
        store_.RunUnanswered(write);
        return ledger.OnNoAnswer("program", true);
      case 1:
        store_.HoldUp(write);
        return ledger.OnNoAnswer("program", true);
      case 2:
        return ledger.OnNoAnswer("program", false);
      default:
        return store_.Carry(ledger, write);
    }
  }

  budget_commands Carry(budget_ledger& ledger,
                        const budget_commands::record& record) {
    const std::uint64_t fate = random_.Below(8);
    if (fate == 0) {
      held_.push_back(record);
    }
    const bool is_stored = fate > 1 && store_.records.Store(record);
    return is_stored && fate > 2
               ? ledger.OnRecorded("program", record.write_id, record.sequence)
               : ledger.OnNotRecorded("program", record.write_id,
                                      record.sequence);
  }

  // The holder may still run: then its record is sealed all the same, as if it
  // had seemed to have failed.
  budget_commands Carry(budget_ledger& ledger,
                        const budget_commands::holder_question& question) {
    return random_.Below(3) == 0
               ? ledger.OnHolderUnresolved("program", question.holder.write_id,
                                           false)
               : store_.records.Seal(ledger, question);
  }

  template <typename Command>
  void CarryFirst(budget_ledger& ledger,
                  std::vector<Command>& commands,
                  budget_commands& all) {
    const Command first = commands.front();
    commands.erase(commands.begin());
    all.Append(Carry(ledger, first));
  }

  void Run(std::size_t i, budget_commands commands) {
    budget_ledger& ledger = *daemons_[i].ledger;
    while (true) {
      for (const auto& decision : std::exchange(commands.decisions, {})) {
        daemons_[i].running +=
            decision.outcome == budget_decision::granted ? 1 : 0;
      }
      if (!commands.writes.empty()) {
        CarryFirst(ledger, commands.writes, commands);
      } else if (!commands.records.empty()) {
        CarryFirst(ledger, commands.records, commands);
      } else if (!commands.questions.empty()) {
        CarryFirst(ledger, commands.questions, commands);
      } else {
        return;
      }
    }
  }

  seeded_random random_;
  claim_store store_;
  std::array<daemon, 3> daemons_;
  std::vector<budget_commands::record> held_;
  std::int64_t used_ = 0;
  int starts_ = 0;
  int step_ = 0;
  budget_ticket ticket_ = 0;
};

}  // namespace

// Guards against a token that is granted twice in any order of kills, returns,
// and calls that are carried out, lost with or without their answer, or held
// up.
Test(budget_holder, successions_never_grant_a_token_twice) {
  constexpr std::uint64_t kSeeds = 4'000;
  constexpr int kSteps = 80;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    succession subject(seed);
    for (int step = 0; step < kSteps; ++step) {
      subject.Step();
      cr_assert(subject.InUse() <= kBudget, "seed %d step %d",
                static_cast<int>(seed), step);
      cr_assert(subject.claimed() >= subject.InUse(), "seed %d step %d",
                static_cast<int>(seed), step);
    }
  }
}
