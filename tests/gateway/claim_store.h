#ifndef TESTS_GATEWAY_CLAIM_STORE_H_
#define TESTS_GATEWAY_CLAIM_STORE_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"

namespace gentian::testing {

/** The stored claim of one program that the ledgers of several daemons share.
 */
class claim_store {
 public:
  /** Carries out writes until there are none; counts granted turns. */
  int Run(budget_ledger& ledger, budget_commands commands) {
    int granted = 0;
    while (true) {
      for (const auto& decision : commands.decisions) {
        granted += decision.outcome == budget_decision::granted ? 1 : 0;
      }
      if (commands.writes.empty()) {
        return granted;
      }
      commands = Carry(ledger, commands.writes.front());
    }
  }

  /** Carries out one write and reports its outcome. */
  budget_commands Carry(budget_ledger& ledger,
                        const budget_commands::write& write) {
    if (write.expected_version == version_) {
      stored_ = DecodeClaim(write.value);
      return ledger.OnWritten(write.program, ++version_);
    }
    return ledger.OnConflict(write.program, version_, stored_);
  }

  /** A write that is held up on its way to the store. */
  void HoldUp(const budget_commands::write& write) { held_.push_back(write); }

  /** Carries out what was held up, each write if its condition still holds. */
  void RunHeld() {
    for (const auto& write : std::exchange(held_, {})) {
      RunUnanswered(write);
    }
  }

  /** Carries out a write whose answer is lost. */
  void RunUnanswered(const budget_commands::write& write) {
    if (write.expected_version == version_) {
      stored_ = DecodeClaim(write.value);
      ++version_;
    }
  }

  /** Tokens that are claimed. */
  std::int64_t claimed() const { return stored_ ? stored_->claimed : 0; }

 private:
  std::uint64_t version_ = 0;
  std::optional<budget_claim> stored_;
  std::vector<budget_commands::write> held_;
};

}  // namespace gentian::testing

#endif  // TESTS_GATEWAY_CLAIM_STORE_H_
