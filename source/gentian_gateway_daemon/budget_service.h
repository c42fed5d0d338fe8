#ifndef GENTIAN_GATEWAY_DAEMON_BUDGET_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_BUDGET_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_gateway/gentian_gateway.h"
#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"

namespace gentian {

/** The end of a reservation that was granted. */
struct budget_settlement {
  /** The daemon that granted it, `ip:port`; empty for this one. */
  std::string holder;
  std::string program;
  std::int64_t reserved = 0;
  /** Tokens that reached the caller. */
  std::int64_t used = 0;
};

/** Reserves tokens of programs' budgets.

    The turns of a program come to any daemon. The one that owns the program
    keeps its account, so that one claim in the key-value service serves several
    turns; the others ask it. A daemon that can not reach the owner claims
    tokens itself. Used on the I/O thread only.
*/
class budget_service {
 public:
  /** Receives the verdict and the daemon that granted the tokens. */
  using verdict_handler =
      std::function<void(budget_verdict, const std::string& holder)>;

  /** @param peers   client for other daemons
      @param writer  unique for each start of a daemon */
  budget_service(key_value_store& store,
                 http_client& peers,
                 const gateway_settings& settings,
                 gateway_state& state,
                 const std::string& writer);

  /** Reserves tokens. The handler may run before the function returns.

      @returns  a ticket for Abandon */
  budget_ticket Reserve(const std::string& program,
                        std::int64_t budget,
                        std::int64_t most,
                        verdict_handler handler);

  /** Ends a reservation that was granted. */
  void Settle(const budget_settlement& settlement);

  /** Withdraws a reservation that has not been answered. */
  void Abandon(budget_ticket ticket);

  /** Answers a request of another daemon; false if the path is not of this
      service. */
  bool AnswerPeer(const std::shared_ptr<http_exchange>& exchange);

 private:
  struct pending {
    std::string program;
    std::int64_t budget = 0;
    std::int64_t most = 0;
    verdict_handler handler;
  };

  void ReserveHere(budget_ticket ticket);
  void ReserveAt(const std::string& owner, budget_ticket ticket);
  void OnOwnerAnswer(const std::string& owner,
                     budget_ticket ticket,
                     const http_response& response);
  void OnOwnerLost(budget_ticket ticket);
  void Answer(budget_ticket ticket,
              budget_verdict verdict,
              const std::string& holder);
  http_client_request PeerRequest(const std::string& owner,
                                  const char* path,
                                  const json& body) const;

  void Execute(budget_commands commands);
  void Write(const budget_commands::write& write);
  void OnAnswer(const std::string& program, const kv_answer& answer);

  key_value_store& store_;
  http_client& peers_;
  const gateway_settings& settings_;
  gateway_state& state_;
  budget_ledger ledger_;
  budget_ticket last_ticket_ = 0;
  steady_time forgotten_at_;
  std::map<budget_ticket, pending> pending_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_BUDGET_SERVICE_H_
