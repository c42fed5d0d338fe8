#ifndef GENTIAN_GATEWAY_DAEMON_ALLOWANCE_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_ALLOWANCE_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_net/gentian_net.h"

namespace gentian {

/** What became of the wish to run one request of a team. */
struct allowance_verdict {
  enum class outcome {
    granted,
    /** Above the allowance. */
    refused,
    /** No holder of the allowance answered. */
    unavailable,
  };

  outcome result = outcome::unavailable;
  /** When refused: time after which a request is within the allowance. */
  milliseconds wait{0};
  /** When granted: key of the daemon that granted it. */
  std::string holder;
};

/** Takes and returns allowances, at this daemon if it holds a part of the
    team's, else at the holders. Used on the I/O thread only.

    @see allowance_holders
*/
class allowance_service {
 public:
  using verdict_handler = std::function<void(const allowance_verdict&)>;

  allowance_service(http_client& peers,
                    const gateway_settings& settings,
                    gateway_state& state);

  /** Takes the right to run one request. The handler may run before the
      function returns.

      @param request_id  spreads requests over holders */
  void Take(const gateway_team& team,
            const std::string& request_id,
            verdict_handler handler);

  /** Returns the right of a request that has not run. */
  void Return(const gateway_team& team, const std::string& holder);

  /** Answers a request of another daemon; false if the path is not of this
      service. */
  bool AnswerPeer(const std::shared_ptr<http_exchange>& exchange);

 private:
  struct asking {
    std::string team;
    std::vector<std::string> holders;
    std::size_t next = 0;
    allowance_verdict verdict;
    verdict_handler handler;
  };

  bool MayGrant(const gateway_team& team) const;
  /** Precondition: this daemon may grant. */
  allowance_verdict TakeHere(const gateway_team& team);
  void AskNext(const std::shared_ptr<asking>& subject);
  void Heard(const std::shared_ptr<asking>& subject,
             const allowance_verdict& verdict);
  std::string PeerAddressOf(const std::string& holder) const;

  peer_client peers_;
  gateway_state& state_;
  std::string self_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_ALLOWANCE_SERVICE_H_
