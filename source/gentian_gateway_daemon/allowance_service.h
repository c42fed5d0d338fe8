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

/** The result of taking a token from a team's allowance. */
struct allowance_verdict {
  enum class outcome {
    granted,
    /** The team is over its allowance. */
    refused,
    /** No holder of the allowance answered. */
    unavailable,
  };

  outcome result = outcome::unavailable;
  /** When refused: delay after which a token is available. */
  milliseconds wait{0};
  /** When granted: member key of the daemon that granted the token. */
  std::string holder;
};

/** Takes and returns tokens of team allowances: locally if this daemon holds a
    share of the allowance, otherwise from the daemons that do. Used on the I/O
    thread only.

    @see allowance_holders
*/
class allowance_service {
 public:
  using verdict_handler = std::function<void(const allowance_verdict&)>;

  allowance_service(http_client& peers,
                    const gateway_settings& settings,
                    gateway_state& state);

  /** Takes a token for one request. The handler may run before the function
      returns.

      @param request_id  hashed to spread requests over holders */
  void Take(const gateway_team& team,
            const std::string& request_id,
            verdict_handler handler);

  /** Returns the token of a request that did not run. */
  void Return(const gateway_team& team, const std::string& holder);

  /** Answers a request of another daemon; false if the path belongs to another
      service. */
  bool AnswerPeer(const std::shared_ptr<http_exchange>& exchange);

 private:
  /** A request that asks the holders of an allowance one after another. */
  struct holder_query {
    std::string team;
    std::vector<std::string> holders;
    std::size_t next = 0;
    allowance_verdict verdict;
    verdict_handler handler;
  };

  bool MayGrant(const gateway_team& team) const;
  /** Precondition: MayGrant(team). */
  allowance_verdict TakeLocally(const gateway_team& team);
  void QueryNextHolder(const std::shared_ptr<holder_query>& subject);
  void OnHolderVerdict(const std::shared_ptr<holder_query>& subject,
                       const allowance_verdict& verdict);
  std::string PeerAddressOf(const std::string& holder) const;

  peer_client peers_;
  gateway_state& state_;
  std::string self_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_ALLOWANCE_SERVICE_H_
