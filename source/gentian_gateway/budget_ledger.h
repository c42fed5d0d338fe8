#ifndef GENTIAN_GATEWAY_BUDGET_LEDGER_H_
#define GENTIAN_GATEWAY_BUDGET_LEDGER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
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
  /** More tokens than this turn needs may be claimed, if there is a recorder. A
      daemon that substitutes for the program's owner claims only what it needs,
      because several daemons may do so one after another and each would tie up
      tokens. */
  bool claim_ahead = true;
  /** Another daemon may still return tokens that it has claimed: an earlier
      owner after a change of members, or the owner that this daemon substitutes
      for. */
  bool others_may_release = false;
  /** Host of the turn store that is to record what is in use of the tokens
      claimed ahead; empty for none. */
  std::string recorder{};
};

/** The answer to a token_request. */
enum class budget_decision {
  granted,
  /** Turns that have ended, or that run, leave too few tokens of the budget for
      the turn. */
  exhausted,
  /** The key-value service did not answer, or other daemons have claimed tokens
      of which it is not known whether they are in use. */
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

  /** A spending record of a claim, for the turn store at a host. */
  struct record {
    static constexpr std::int64_t kFirstSequence = 1;
    std::string program;
    std::string recorder;
    std::string write_id;
    std::int64_t sequence = 0;
    std::int64_t in_use = 0;
    std::int64_t used = 0;
  };
  /** Asks what is in use of the tokens that another daemon holds. */
  struct holder_question {
    std::string program;
    claim_holder holder;
  };

  std::vector<decision> decisions;
  std::vector<write> writes;
  std::vector<record> records;
  std::vector<holder_question> questions;

  void Append(budget_commands more);
};

/** Enforces the token budgets of programs across daemons and restarts.

    Tokens are claimed in the key-value service before a turn may generate them.
    A daemon spends only what it has claimed, so a budget holds regardless of
    how many daemons a program uses and which of them fail.

    A daemon that fails must not keep tokens that no turn uses. It claims what
    its turns need and releases what they have left at their end; or it claims
    tokens ahead and records at a turn store what is in use of them, before the
    claim and before it grants more than that. Its successor seals the record
    and releases the others.
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

  /** Handles a spending record that is durable. */
  budget_commands OnRecorded(const std::string& program,
                             const std::string& write_id,
                             std::int64_t sequence);

  /** Handles a spending record that is not known to be durable. Its claim is
      written again, without tokens ahead. */
  budget_commands OnNotRecorded(const std::string& program,
                                const std::string& write_id,
                                std::int64_t sequence);

  /** Handles the sealed spending record of another daemon's claim.

      @param in_use  see spending_record
      @param used    see spending_record */
  budget_commands OnHolderSealed(const std::string& program,
                                 const std::string& write_id,
                                 std::int64_t in_use,
                                 std::int64_t used);

  /** Handles a claim of another daemon that can't be resolved.

      @param is_final  there is no record, so that all of its tokens count as in
                       use; otherwise the daemon may live, or its record may be
                       reachable later */
  budget_commands OnHolderUnresolved(const std::string& program,
                                     const std::string& write_id,
                                     bool is_final);

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

  /** True if ReleaseIdle would release tokens. */
  bool HasIdle(steady_time since, steady_time recorded_since) const;

  /** Releases tokens that no turn has needed since a time, and stores that a
      budget is spent.

      @param since           for tokens of which no turn store records whether
                             they are in use
      @param recorded_since  for the others
      @param max_writes      of programs that are released at once */
  budget_commands ReleaseIdle(steady_time since,
                              steady_time recorded_since,
                              std::size_t max_writes);

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
    /** Tokens that it counts as spent. */
    std::int64_t spent = 0;
    /** The holder that it stores. */
    std::optional<claim_holder> holder;
    /** Most tokens that may be in use once it has taken effect. */
    std::int64_t limit = std::numeric_limits<std::int64_t>::max();
    /** It waits for its spending record, which says `limit`. */
    bool is_recording = false;
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

  /** The spending records of this daemon's latest write of a claim. */
  struct recording {
    std::string write_id;
    std::string recorder;
    /** Least number of tokens that a successor may find to be in use. No more
        may be granted. */
    std::int64_t limit = 0;
    std::int64_t sequence = budget_commands::record::kFirstSequence;
    /** The used tokens that the latest record names. */
    std::int64_t used = 0;
    /** What the record that is on its way says to be in use. */
    std::optional<std::int64_t> sent;
  };

  struct account {
    std::int64_t budget = 0;
    /** Tokens claimed by all daemons, as of the last stored claim read; other
        daemons may have claimed more since. */
    std::int64_t claimed = 0;
    /** Of these, tokens of turns that are known to have ended. */
    std::int64_t spent = 0;
    /** An earlier build stored the claim, so that `spent` counts all tokens of
        other daemons. */
    bool is_spent_estimated = false;
    std::optional<claim_holder> holder;
    std::uint64_t version = 0;
    /** Part of `claimed` that this daemon has claimed and that isn't part of
        `spent`. */
    std::int64_t own_claimed = 0;
    /** Part of `own_claimed` that turns have used. */
    std::int64_t own_spent = 0;
    /** Claimed by this daemon and not in use. */
    std::int64_t available = 0;
    /** By all turns that this daemon has granted. */
    std::int64_t used = 0;
    std::deque<token_request> waiting;
    std::optional<claim_write> write;
    /** Set while this daemon is the holder. */
    std::optional<recording> records;
    /** The stored claim was read since the budget was found too small. */
    bool verified = false;
    /** `write`, or its spending record, is on its way. */
    bool writing = false;
    /** As in the last request. */
    bool claim_ahead = false;
    std::string recorder;
    std::int64_t max_turn_tokens = 0;
    /** The holder is being resolved. */
    bool is_resolving = false;
    /** The write of a holder that is not to be resolved now. */
    std::string unresolved_holder;
    /** A turn was granted before its tokens were claimed, because the
        key-value service did not answer. */
    bool has_unclaimed_turn = false;
    /** When a turn of the program was last requested or ended. */
    steady_time last_used;
    /** Since when tokens are available. */
    std::optional<steady_time> available_since;
  };

  budget_commands Advance(const std::string& program, account& entry);
  /** Applies the claim that the key-value service stores after a write. */
  budget_commands OnWriteResolved(const std::string& program,
                                  account& entry,
                                  std::uint64_t version,
                                  const std::optional<budget_claim>& stored);
  static write_outcome OutcomeOf(const account& entry,
                                 const std::optional<budget_claim>& stored);
  void ApplyOutcome(account& entry, write_outcome outcome) const;
  static void ApplyStored(account& entry,
                          const std::optional<budget_claim>& stored);
  /** @param amount    see claim_write
      @param may_hold  this daemon may be the holder */
  void StartWrite(const std::string& program,
                  account& entry,
                  std::int64_t amount,
                  bool may_hold,
                  budget_commands& commands);
  static budget_commands::write SendWrite(const std::string& program,
                                          account& entry);
  void GrantWaiting(account& entry, budget_commands& commands);
  /** Refuses the first waiting turn, or finds out whether it has to. */
  void OnTooFewTokens(const std::string& program,
                      account& entry,
                      budget_commands& commands);
  static std::int64_t WaitingTokens(const account& entry);
  static std::int64_t InUse(const account& entry);
  std::int64_t AmountToClaim(const account& entry) const;
  static bool NeedsRelease(const account& entry,
                           steady_time since,
                           steady_time recorded_since);
  static bool HasUnreported(const account& entry);
  static void TrackAvailable(account& entry, steady_time now);
  void StartRelease(const std::string& program,
                    account& entry,
                    budget_commands& commands);
  static bool MayStartUnclaimed(const account& entry);

  bool IsOwn(const claim_holder& holder) const;
  bool MayHold(const account& entry) const;
  bool NeedsHolder(const account& entry) const;
  static void AskHolder(const std::string& program,
                        account& entry,
                        budget_commands& commands);
  /** Null unless this spending record is on its way. */
  account* FindRecording(const std::string& program,
                         const std::string& write_id,
                         std::int64_t sequence);
  /** Null unless the first spending record of this write is on its way. */
  account* FindRecordingWrite(const std::string& program,
                              const std::string& write_id);
  /** Null unless the outcome of this holder is awaited. */
  account* FindResolving(const std::string& program,
                         const std::string& write_id);
  /** The daemon's tokens belong to a successor. */
  static void LoseClaim(account& entry);
  static std::int64_t InUseAfterClaim(const account& entry,
                                      std::int64_t amount);
  static bool IsGrantRecorded(const account& entry, std::int64_t tokens);
  /** Records what is in use, and more if turns wait that need it. */
  static void Record(const std::string& program,
                     account& entry,
                     budget_commands& commands);

  std::string writer_;
  std::uint64_t last_write_ = 0;
  std::map<std::string, account> accounts_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_BUDGET_LEDGER_H_
