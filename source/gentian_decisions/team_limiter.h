#ifndef GENTIAN_DECISIONS_TEAM_LIMITER_H_
#define GENTIAN_DECISIONS_TEAM_LIMITER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "gentian_decisions/limit_decision.h"
#include "gentian_decisions/share_manager.h"

namespace gentian {

/** Limits the rate and burst of each team across the whole fleet.

    A call takes a token from the own bucket or from a batch that the team's
    granter granted. A call without a token waits up to `fleet.limits_wait` and
    is then refused.
    @see share_manager
*/
class team_limiter {
 public:
  /** Time after the request within which granted tokens may be spent. It is
      less than the 0.7 s between the last use of a delegated share by its
      granter and the next use by its owner, with clock rates that differ by
      10%. */
  static constexpr milliseconds kGrantLifetime{400};
  /** Time after the request at which unused granted tokens are returned. */
  static constexpr milliseconds kUnusedReturnDelay{200};
  /** Longest time before an unanswered request for tokens is repeated. */
  static constexpr milliseconds kRequestTimeout{100};

  /** @param view  must outlive the limiter */
  explicit team_limiter(const cluster_view& view)
      : view_(view), shares_(view) {}

  /** Requests a token for a ticket. TakeDecisions returns the decision, at once
      or later. */
  void Acquire(ticket_id ticket, const team_id& team, node_context& context);

  /** Removes a waiting ticket. */
  void Cancel(ticket_id ticket, const team_id& team);

  /** Returns a token that was not used. */
  void Return(const team_id& team, node_context& context);

  /** Refuses tickets that have waited too long, requests tokens and settles
      batches. */
  void Tick(node_context& context);

  void Receive(const incarnation& from,
               const grant_request& request,
               node_context& context);
  void Receive(const incarnation& from,
               const grant_answer& answer,
               node_context& context);

  /** Passes a message about shares to the share manager. */
  template <typename Message>
  void ReceiveShare(const incarnation& from,
                    const Message& message,
                    node_context& context) {
    shares_.Receive(from, message, context);
  }

  /** Returns the decisions since the last call of this function, in order. */
  std::vector<limit_decision> TakeDecisions();

  /** Number of tickets that wait for a token. */
  std::size_t waiting() const;

 private:
  struct waiting_ticket {
    ticket_id ticket = 0;
    steady_time since;
  };
  struct granted_batch {
    incarnation granter;
    std::uint64_t batch = 0;
    std::uint32_t tokens = 0;
    std::uint32_t left = 0;
    steady_time requested;
  };
  struct pending_request {
    incarnation granter;
    std::uint64_t number = 0;
    steady_time sent;
    /** True if calls wait for the answer. */
    bool calls_wait = false;
  };
  /** Another daemon's request for tokens that waits to be served. */
  struct peer_request {
    std::uint64_t request = 0;
    std::uint32_t tokens = 0;
    steady_time since;
    steady_time received;
  };
  struct team_state {
    std::deque<waiting_ticket> queue;
    std::deque<granted_batch> batches;
    std::optional<pending_request> pending;
    /** Send times of the requests that were replaced before an answer came. */
    std::map<std::uint64_t, steady_time> abandoned;
    std::map<incarnation, std::vector<grant_settlement>> settled;
    /** Tokens of the batches in `settled`; they occupy capacity at the granters
        until the settlement arrives. */
    std::uint32_t unsettled_tokens = 0;
    /** Number of the last request received, by requesting daemon. */
    std::map<incarnation, std::uint64_t> last_served;
    std::map<incarnation, peer_request> peer_requests;
    std::uint64_t last_request = 0;
    /** Arrivals a second, smoothed. */
    double arrival_rate = 0;
    std::uint64_t arrivals = 0;
    steady_time arrivals_since;
  };

  bool TakeGranted(team_state& state, steady_time now);
  void ServePeerRequest(const team_settings& team,
                        team_state& state,
                        std::map<incarnation, peer_request>::iterator first,
                        node_context& context);
  void AdmitFront(team_state& state);
  void Serve(const team_settings& team,
             team_state& state,
             node_context& context);
  void RequestTokens(const team_settings& team,
                     team_state& state,
                     node_context& context);
  void Expire(const team_settings& team,
              team_state& state,
              node_context& context);
  void CountArrivals(team_state& state, steady_time now);
  void CloseFrontBatch(team_state& state);
  void SettleIfLarge(const team_settings& team,
                     team_state& state,
                     node_context& context);
  void SendSettlements(const team_id& team,
                       team_state& state,
                       node_context& context);
  void Refuse(ticket_id ticket, const team_settings& team, std::size_t ahead);

  const cluster_view& view_;
  share_manager shares_;
  std::map<team_id, team_state> teams_;
  std::uint64_t last_batch_ = 0;
  std::vector<limit_decision> decisions_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_TEAM_LIMITER_H_
