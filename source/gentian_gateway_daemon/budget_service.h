#ifndef GENTIAN_GATEWAY_DAEMON_BUDGET_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_BUDGET_SERVICE_H_

#include <functional>
#include <map>
#include <string>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_gateway/gentian_gateway.h"

namespace gentian {

/** Carries out the writes of a budget_ledger. Used on the I/O thread only. */
class budget_service {
 public:
  using verdict_handler = std::function<void(budget_verdict)>;

  /** @param writer  unique for each start of a daemon */
  budget_service(key_value_store& store, const std::string& writer);

  /** Reserves tokens. The handler may run before the function returns.

      @returns  a ticket for Abandon */
  budget_ticket Reserve(const std::string& program,
                        std::int64_t budget,
                        std::int64_t most,
                        verdict_handler handler);

  /** Ends a reservation that was granted. */
  void Settle(const std::string& program,
              std::int64_t reserved,
              std::int64_t used);

  /** Withdraws a reservation that has not been answered. */
  void Abandon(const std::string& program, budget_ticket ticket);

 private:
  void Execute(budget_commands commands);
  void Write(const budget_commands::write& write);
  void OnAnswer(const std::string& program, const kv_answer& answer);

  key_value_store& store_;
  budget_ledger ledger_;
  budget_ticket last_ticket_ = 0;
  steady_time forgotten_at_;
  std::map<budget_ticket, verdict_handler> handlers_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_BUDGET_SERVICE_H_
