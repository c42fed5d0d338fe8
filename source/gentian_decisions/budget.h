#ifndef GENTIAN_DECISIONS_BUDGET_H_
#define GENTIAN_DECISIONS_BUDGET_H_

#include <map>
#include <optional>
#include <string>

#include "gentian_decisions/budget_amount.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** Budget of one session. Amounts are reserved before an action and settled
    after it; a reservation that is never settled counts in full.
*/
class budget {
 public:
  budget() = default;

  explicit budget(const budget_limits& limits) : limits_(limits) {}

  /** Name of the first limit that a reservation would exceed, if any.

      @param amount   amount to reserve
      @param elapsed  time since the session was opened
  */
  std::optional<std::string> ExceededLimit(const budget_amount& amount,
                                           milliseconds elapsed) const;

  /** Reserves an amount for an owner (`call/N` or a child session). A second
      reservation by the same owner counts the first one as spent.
  */
  void Reserve(const std::string& owner, const budget_amount& amount);

  /** Replaces an owner's reservation by the amount used. Has no effect if the
      owner has no reservation. */
  void Settle(const std::string& owner, const budget_amount& used);

  /** Settled amounts plus all reservations. */
  budget_amount Committed() const;

  /** The limits minus Committed; 0 for a limit that is exceeded. */
  budget_amount Remaining() const;

  const budget_limits& limits() const { return limits_; }

 private:
  budget_limits limits_;
  budget_amount spent_;
  std::map<std::string, budget_amount> reserved_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_BUDGET_H_
