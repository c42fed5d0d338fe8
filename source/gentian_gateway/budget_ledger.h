#ifndef GENTIAN_GATEWAY_BUDGET_LEDGER_H_
#define GENTIAN_GATEWAY_BUDGET_LEDGER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/budget_claim.h"

namespace gentian {

/** Identifies one turn that asks for tokens. */
using budget_ticket = std::uint64_t;

/** A turn's request to reserve the tokens that it may generate. */
struct token_request {
  std::string program;
  /** Tokens that all turns of the program may generate. */
  std::int64_t budget = 0;
  /** Most tokens that this turn may generate. */
  std::int64_t max_tokens = 0;
  budget_ticket ticket = 0;
  /** The program's first turn may start before its tokens are claimed if the
      key-value service does not answer. Only one daemon may set this for a
      program, because the users accept one turn beyond the budget; see
      unclaimed_start_policy. */
  bool may_start_unclaimed = false;
  /** More tokens than this turn needs may be claimed. A daemon that substitutes
      for the program's owner claims only what it needs, because several
      daemons may do so one after another and each would tie up tokens. */
  bool claim_ahead = true;
  /** Another daemon may still return tokens that it has claimed: an earlier
      owner after a change of members, or the owner that this daemon substitutes
      for. */
  bool others_may_release = false;
};

/** The answer to a token_request. */
enum class budget_decision {
  granted,
  /** The budget has too few tokens left for the turn. */
  exhausted,
  /** The key-value service did not answer. */
  unavailable,
};

/** Decisions and writes that the caller of the ledger carries out. */
struct budget_commands {
  struct decision {
    budget_ticket ticket = 0;
    budget_decision outcome = budget_decision::unavailable;
    /** The tokens of a granted turn were claimed before. */
    bool is_claimed = true;
  };
  /** A conditional write of a program's claim. */
  struct write {
    std::string program;
    std::uint64_t expected_version = 0;
    std::string value;
  };

  std::vector<decision> decisions;
  std::vector<write> writes;

  void Append(budget_commands more);
};

/** Enforces the token budgets of programs across daemons and restarts.

    Tokens are claimed in the key-value service before a turn may generate them.
    A daemon spends only what it has claimed, so a budget holds regardless of
    how many daemons a program uses and which of them fail. What a daemon had
    claimed when it failed is lost to the program, so tokens that no turn uses
    are released soon after the program's last turn.
*/
class budget_ledger {
 public:
  /** @param writer  unique for each start of a daemon */
  explicit budget_ledger(std::string writer);

  budget_commands Reserve(const token_request& request, steady_time now);

  /** Ends a turn that this daemon granted, or that another daemon granted with
      claimed tokens and doesn't learn the end of. Its unused tokens may serve
      other turns.

      @param used  tokens that reached the caller */
  budget_commands Settle(const std::string& program,
                         std::int64_t reserved,
                         std::int64_t used,
                         steady_time now);

  /** Removes a waiting turn whose caller has disconnected. */
  void Cancel(const std::string& program, budget_ticket ticket);

  /** Handles a write that took effect. */
  budget_commands OnWritten(const std::string& program, std::uint64_t version);

  /** Handles a write that found another version or no entry. */
  budget_commands OnConflict(const std::string& program,
                             std::uint64_t version,
                             const std::optional<budget_claim>& stored);

  /** Handles a write that was not carried out because another write of the
      same batch found another version. */
  budget_commands OnNotCarriedOut(const std::string& program);

  /** Handles a write that was not answered or that the service refused.

      A write that may have run can take effect until another one has changed
      the claim. Its tokens are neither granted nor claimed again before its
      outcome is known.

      @param may_have_run  of this try alone */
  budget_commands OnNoAnswer(const std::string& program, bool may_have_run);

  /** Programs with a write that has no known outcome and is not on its way, and
      programs whose turn started before its tokens were claimed. */
  std::vector<std::string> UnresolvedPrograms() const;

  /** Repeats the write of such a program, which finds out its outcome, or
     claims what its turn has used. */
  budget_commands Resolve(const std::string& program);

  /** Removes the accounts of programs last used before `limit`. Those that hold
      or owe tokens stay. */
  void EvictIdle(steady_time limit);

  /** Tokens used by the turns of a program that this daemon granted. */
  std::int64_t UsedTokens(const std::string& program) const;

  /** Releases the tokens of a program that are not in use, so that another
     daemon can claim them. */
  budget_commands ReleaseUnused(const std::string& program);

  /** Releases the unused tokens of programs for which a predicate holds. */
  budget_commands ReleaseUnused(
      const std::function<bool(const std::string& program)>& applies);

  /** True if ReleaseIdle would release tokens that no turn has needed since a
      time.

      @param since          for programs of which more than half of the budget
                            is claimed
      @param relaxed_since  for the others, which lose less if this daemon fails
   */
  bool HasIdle(steady_time since, steady_time relaxed_since) const;

  /** Releases tokens that no turn has needed since a time: all of a program
      without a turn that began or ended since, and what exceeds the tokens to
      be kept ahead of the others.

      @param max_writes  of programs that are released at once */
  budget_commands ReleaseIdle(steady_time since, std::size_t max_writes);

  /** Releases all tokens that are not in use and claims those that were used
      before they were claimed, before the daemon stops.

      @returns  the writes; their outcome need not be reported */
  std::vector<budget_commands::write> ReleaseAll();

  std::size_t size() const { return accounts_.size(); }

 private:
  /** A write of a claim whose outcome is not known. It is repeated unchanged,
      so that at most one of its tries takes effect. */
  struct claim_write {
    std::string id;
    std::uint64_t expected_version = 0;
    /** Tokens that it claims; negative if it releases them. A release takes
        them from `available` when it starts. */
    std::int64_t amount = 0;
    /** A try that had no answer may have run, or may run later. */
    bool may_have_run = false;
    /** Tries without an answer, one after the other. */
    int unanswered = 0;
  };

  enum class write_outcome {
    applied,
    not_applied,
    /** It may have taken effect before another daemon changed the claim. */
    unknown,
  };

  struct account {
    std::int64_t budget = 0;
    /** Tokens claimed by all daemons, as of the last stored claim read; other
        daemons may have claimed more since. */
    std::int64_t claimed = 0;
    std::uint64_t version = 0;
    /** Part of `claimed` that this daemon has claimed. */
    std::int64_t own_claimed = 0;
    /** Claimed by this daemon and not in use. */
    std::int64_t available = 0;
    std::int64_t used = 0;
    std::deque<token_request> waiting;
    std::optional<claim_write> write;
    /** The stored claim was read since the budget was found too small. */
    bool verified = false;
    /** `write` is on its way. */
    bool writing = false;
    /** As in the last request. */
    bool claim_ahead = false;
    /** A turn was granted before its tokens were claimed, because the
        key-value service did not answer. */
    bool has_unclaimed_turn = false;
    /** When a turn of the program was last requested or ended. */
    steady_time last_used;
    /** Since when more tokens are available than are kept ahead. */
    std::optional<steady_time> excess_since;
  };

  budget_commands Advance(const std::string& program, account& entry);
  /** Applies the claim that the key-value service stores after a write. */
  budget_commands OnWriteResolved(const std::string& program,
                                  account& entry,
                                  std::uint64_t version,
                                  const std::optional<budget_claim>& stored);
  static write_outcome OutcomeOf(const claim_write& write,
                                 const std::optional<budget_claim>& stored);
  static void ApplyOutcome(account& entry, write_outcome outcome);
  budget_commands::write StartWrite(const std::string& program,
                                    account& entry,
                                    std::int64_t amount);
  static budget_commands::write SendWrite(const std::string& program,
                                          account& entry);
  void GrantWaiting(account& entry, budget_commands& commands);
  static std::int64_t WaitingTokens(const account& entry);
  static std::int64_t MaxAhead(const account& entry);
  static std::int64_t AmountToClaim(const account& entry);
  static std::int64_t IdleTokens(const account& entry, steady_time since);
  static void TrackExcess(account& entry, steady_time now);
  budget_commands::write StartRelease(const std::string& program,
                                      account& entry,
                                      std::int64_t amount);
  static bool MayStartUnclaimed(const account& entry);

  std::string writer_;
  std::uint64_t last_write_ = 0;
  std::map<std::string, account> accounts_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_BUDGET_LEDGER_H_
