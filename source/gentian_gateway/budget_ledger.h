#ifndef GENTIAN_GATEWAY_BUDGET_LEDGER_H_
#define GENTIAN_GATEWAY_BUDGET_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/budget_claim.h"

namespace gentian {

/** Identifies one turn that asks for tokens. */
using budget_ticket = std::uint64_t;

/** A turn's request for the tokens that it may generate at most. */
struct token_request {
  std::string program;
  /** Tokens that all turns of the program may generate. */
  std::int64_t budget = 0;
  std::int64_t max_tokens = 0;
  budget_ticket ticket = 0;
  /** The program's first turn may start before its tokens are claimed if the
      key-value service does not answer. Only one daemon may allow this for a
      program, because the users allow one turn beyond the budget. */
  bool may_start_unclaimed = false;
  /** More than this turn's tokens may be claimed. A daemon that stands in for
      the program's owner claims no more, as many may do so in turn. */
  bool claim_ahead = true;
};

/** The answer to a token_request. */
enum class budget_decision {
  granted,
  /** The budget does not hold the turn. */
  exhausted,
  /** The key-value service did not answer. */
  unavailable,
};

/** What the ledger asks its environment to do. */
struct budget_commands {
  struct decision {
    budget_ticket ticket = 0;
    budget_decision outcome = budget_decision::unavailable;
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

/** Keeps programs within their token budgets across daemons and restarts.

    Tokens are claimed in the key-value service before a turn may generate
    them. A daemon spends only what it has claimed, so budgets hold however many
    daemons a program uses and whichever of them stop; what a daemon had
    claimed and not spent when it stopped is lost to the program.
*/
class budget_ledger {
 public:
  /** @param writer  unique for each start of a daemon */
  explicit budget_ledger(std::string writer);

  budget_commands Reserve(const token_request& request, steady_time now);

  /** A turn that was granted has ended.

      @param used  tokens that reached the caller */
  budget_commands Settle(const std::string& program,
                         std::int64_t reserved,
                         std::int64_t used,
                         steady_time now);

  /** The caller of a waiting turn is gone. */
  void Cancel(const std::string& program, budget_ticket ticket);

  /** A write took effect. */
  budget_commands OnWritten(const std::string& program, std::uint64_t version);

  /** A write found another version, or no entry. */
  budget_commands OnConflict(const std::string& program,
                             std::uint64_t version,
                             const std::optional<budget_claim>& stored);

  /** No answer came, or the service refused the call. */
  budget_commands OnNoAnswer(const std::string& program, bool may_have_run);

  /** Drops programs that were not used since a time. */
  void EvictIdle(steady_time limit);

  /** Tokens that turns of a program have used, as far as this daemon granted
      them. */
  std::int64_t UsedTokens(const std::string& program) const;

  /** Gives all tokens that are not in use back, before the daemon stops.

      @returns  the writes; their outcome need not be reported */
  std::vector<budget_commands::write> ReleaseAll();

  std::size_t size() const { return accounts_.size(); }

 private:
  struct account {
    std::int64_t budget = 0;
    /** As far as this daemon knows; others may have claimed more. */
    std::int64_t claimed = 0;
    std::uint64_t version = 0;
    /** Claimed by this daemon and not in use. */
    std::int64_t available = 0;
    std::int64_t used = 0;
    std::deque<token_request> waiting;
    /** The write in progress, or one whose answer was lost. */
    std::string write_id;
    std::int64_t write_amount = 0;
    bool writing = false;
    int unanswered_writes = 0;
    /** As the last request says. */
    bool claim_ahead = false;
    /** A turn was granted while the key-value service did not answer. */
    bool has_unclaimed_turn = false;
    steady_time last_used;
  };

  budget_commands Advance(const std::string& program, account& own);
  /** The store holds this claim now. */
  budget_commands OnWriteResolved(const std::string& program,
                                  account& own,
                                  std::uint64_t version,
                                  const std::optional<budget_claim>& stored);
  void GrantWaiting(account& own, budget_commands& commands);
  static std::int64_t AmountToClaim(const account& own);
  static bool MayStartUnclaimed(const account& own);

  std::string writer_;
  std::uint64_t last_write_ = 0;
  std::map<std::string, account> accounts_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_BUDGET_LEDGER_H_
