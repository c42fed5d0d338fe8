#ifndef GENTIAN_DECISIONS_BUDGET_H_
#define GENTIAN_DECISIONS_BUDGET_H_

#include <map>
#include <optional>
#include <string>

#include "gentian_decisions/budget_amount.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** The budget of one session: reserve before an action, settle after it.

    A reservation that is never settled stays counted in full.
*/
class budget {
 public:
  budget() = default;

  /** A budget of which nothing is used yet. */
  explicit budget(const budget_limits& limits) : limits_(limits) {}

  /** Name of the limit that an amount does not fit into, if any.

      @param amount   what is to be reserved
      @param elapsed  time since the session was opened
  */
  std::optional<std::string> ExceededLimit(const budget_amount& amount,
                                           milliseconds elapsed) const;

  /** Holds an amount for an owner (`call/N` or a child session). A further
      reservation of the same owner turns the previous one into spending.
  */
  void Reserve(const std::string& owner, const budget_amount& amount);

  /** Replaces an owner's reservation by what was really used. */
  void Settle(const std::string& owner, const budget_amount& used);

  /** Settled amounts plus all reservations. */
  budget_amount Committed() const;

  /** What Committed leaves of the limits. */
  budget_amount Remaining() const;

  const budget_limits& limits() const { return limits_; }

 private:
  budget_limits limits_;
  budget_amount spent_;
  std::map<std::string, budget_amount> reserved_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_BUDGET_H_
