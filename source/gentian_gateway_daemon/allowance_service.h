#ifndef GENTIAN_GATEWAY_DAEMON_ALLOWANCE_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_ALLOWANCE_SERVICE_H_

#include <functional>
#include <map>
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
  /** When granted: time until the request may be sent. When refused: delay
      after which a token is available. */
  milliseconds wait{0};
  /** Member key of the daemon that granted the token, or whose next token is
      the first to be available. */
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

      @param request_id  hashed to spread requests over holders
      @param max_wait    longest time that the request may wait for a token */
  void Take(const gateway_team& team,
            const std::string& request_id,
            milliseconds max_wait,
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
    milliseconds max_wait{0};
    /** The best one so far. */
    allowance_verdict verdict;
    verdict_handler handler;
  };

  bool MayGrant(const gateway_team& team) const;
  /** True if the shares of the allowances are so small that one of them is
      often used up while others have tokens left. */
  bool HasSmallShares() const;
  /** True if no holder that was asked has had a token lately. */
  bool IsUsedUp(const gateway_team& team, steady_time now) const;
  void SetUsedUp(const std::string& team, milliseconds wait);
  /** Precondition: MayGrant(team). */
  allowance_verdict TakeLocally(const gateway_team& team,
                                milliseconds max_wait);
  std::vector<std::string> OtherHolders(const gateway_team& team,
                                        const std::string& request_id,
                                        std::size_t most) const;
  void AskHolder(const std::shared_ptr<holder_query>& subject,
                 const std::string& holder,
                 milliseconds max_wait,
                 verdict_handler on_verdict,
                 std::function<void()> on_failure);
  /** Ends a query whose holders have no token: waits for the next one, or
      refuses. */
  void ReserveNextToken(const std::shared_ptr<holder_query>& subject);
  void QueryNextHolder(const std::shared_ptr<holder_query>& subject);
  void OnHolderVerdict(const std::shared_ptr<holder_query>& subject,
                       const allowance_verdict& verdict);
  std::string PeerAddressOf(const std::string& holder) const;

  peer_client peers_;
  gateway_state& state_;
  std::string self_;
  /** By team: until when other holders are not asked for its tokens. */
  std::map<std::string, steady_time> used_up_until_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_ALLOWANCE_SERVICE_H_
