#include "gentian_gateway_daemon/budget_service.h"

#include <utility>

namespace gentian {

namespace {

constexpr const char* kClaimPrefix = "gentianrun/budget/";
// Time for one write. The service answers in milliseconds; a slow one in some
// hundred.
constexpr milliseconds kWriteDeadline{900};
// Programs are unused for at most some seconds between two turns. A program
// that comes back later finds its claim in the key-value service.
constexpr milliseconds kAccountLifetime{120'000};

}  // namespace

budget_service::budget_service(key_value_store& store,
                               const std::string& writer)
    : store_(store), ledger_(writer) {}

budget_ticket budget_service::Reserve(const std::string& program,
                                      std::int64_t budget,
                                      std::int64_t most,
                                      verdict_handler handler) {
  const steady_time now = BootTimeNow();
  if (now - forgotten_at_ > kAccountLifetime) {
    ledger_.Forget(now - kAccountLifetime);
    forgotten_at_ = now;
  }
  const budget_ticket ticket = ++last_ticket_;
  handlers_[ticket] = std::move(handler);
  Execute(ledger_.Reserve({program, budget, most, ticket}, now));
  return ticket;
}

void budget_service::Settle(const std::string& program,
                            std::int64_t reserved,
                            std::int64_t used) {
  Execute(ledger_.Settle(program, reserved, used, BootTimeNow()));
}

void budget_service::Abandon(const std::string& program, budget_ticket ticket) {
  if (handlers_.erase(ticket) > 0) {
    ledger_.Abandon(program, ticket);
  }
}

void budget_service::Execute(budget_commands commands) {
  for (const auto& write : commands.writes) {
    Write(write);
  }
  for (const auto& verdict : commands.verdicts) {
    const auto found = handlers_.find(verdict.ticket);
    if (found == handlers_.end()) {
      continue;
    }
    const verdict_handler handler = std::move(found->second);
    handlers_.erase(found);
    handler(verdict.outcome);
  }
}

void budget_service::Write(const budget_commands::write& write) {
  kv_compare_and_swap operation;
  operation.key = kClaimPrefix + write.program;
  operation.expected_version = write.expected_version;
  operation.value = write.value;
  store_.Call(operation, kWriteDeadline,
              [this, program = write.program](const kv_answer& answer) {
                OnAnswer(program, answer);
              });
}

void budget_service::OnAnswer(const std::string& program,
                              const kv_answer& answer) {
  switch (answer.outcome) {
    case kv_answer::status::ok:
      Execute(ledger_.OnWritten(program, answer.revision));
      return;
    case kv_answer::status::conflict: {
      if (answer.entries.empty()) {
        Execute(ledger_.OnConflict(program, 0, std::nullopt));
        return;
      }
      const kv_entry& stored = answer.entries.front();
      const auto claim = DecodeClaim(stored.value);
      if (!claim) {
        // Nothing is known of what was spent, so nothing more is granted.
        Execute(ledger_.OnNoAnswer(program, false));
        return;
      }
      Execute(ledger_.OnConflict(program, stored.version, claim));
      return;
    }
    case kv_answer::status::not_sent:
      Execute(ledger_.OnNoAnswer(program, false));
      return;
    default:
      Execute(ledger_.OnNoAnswer(program, true));
      return;
  }
}

}  // namespace gentian
