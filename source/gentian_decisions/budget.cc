#include "gentian_decisions/budget.h"

namespace gentian {

namespace {

std::uint64_t SubtractToZero(std::uint64_t limit, std::uint64_t used) {
  return limit > used ? limit - used : 0;
}

}  // namespace

std::optional<std::string> budget::ExceededLimit(const budget_amount& amount,
                                                 milliseconds elapsed) const {
  const budget_amount left = Remaining();
  if (amount.tokens > left.tokens) {
    return "tokens";
  }
  if (amount.calls > left.calls) {
    return "calls";
  }
  if (amount.cost_micros > left.cost_micros) {
    return "cost_micros";
  }
  if (static_cast<std::uint64_t>(elapsed.count()) >= limits_.time_ms) {
    return "time_ms";
  }
  return std::nullopt;
}

void budget::Reserve(const std::string& owner, const budget_amount& amount) {
  const auto found = reserved_.find(owner);
  if (found != reserved_.end()) {
    spent_ += found->second;
  }
  reserved_[owner] = amount;
}

void budget::Settle(const std::string& owner, const budget_amount& used) {
  if (reserved_.erase(owner) > 0) {
    spent_ += used;
  }
}

budget_amount budget::Committed() const {
  budget_amount sum = spent_;
  for (const auto& [owner, amount] : reserved_) {
    sum += amount;
  }
  return sum;
}

budget_amount budget::Remaining() const {
  const budget_amount used = Committed();
  budget_amount left;
  left.tokens = SubtractToZero(limits_.tokens, used.tokens);
  left.calls = SubtractToZero(limits_.calls, used.calls);
  left.cost_micros = SubtractToZero(limits_.cost_micros, used.cost_micros);
  return left;
}

}  // namespace gentian
