#ifndef GENTIAN_DECISIONS_BUDGET_AMOUNT_H_
#define GENTIAN_DECISIONS_BUDGET_AMOUNT_H_

#include <cstdint>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Amounts of a budget that can be summed. Elapsed time is not among them,
    because calls of sub-agents overlap; see budget::ExceededLimit.
*/
struct budget_amount {
  std::uint64_t tokens = 0;
  std::uint64_t calls = 0;
  std::uint64_t cost_micros = 0;

  budget_amount& operator+=(const budget_amount& other) {
    tokens += other.tokens;
    calls += other.calls;
    cost_micros += other.cost_micros;
    return *this;
  }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(budget_amount, tokens, calls, cost_micros)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_BUDGET_AMOUNT_H_
