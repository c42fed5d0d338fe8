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

/** Rate and burst of each team across the whole fleet.

    Spends tokens of the own bucket or of batches that the team's granter
    granted. A request that finds none waits up to `fleet.limits_wait`.
    @see share_manager
*/
class team_limiter {
 public:
  /** A granted token is spent within this time of the request for it. The
      time lies below the gap of 0.7 s between the last use of a share by its
      granter and the first by its owner, at clock rates that differ by 10%. */
  static constexpr milliseconds kGrantLifetime{400};
  /** Unused granted tokens go back after this time. */
  static constexpr milliseconds kUnusedReturnDelay{200};
  /** A request for tokens without an answer is repeated after this time. */
  static constexpr milliseconds kRequestTimeout{100};

  /** @param view  must outlive the limiter */
  explicit team_limiter(const cluster_view& view)
      : view_(view), shares_(view) {}

  /** Asks for a token. The decision may come at once or later.
      @see TakeDecisions */
  void Acquire(ticket_id ticket, const team_id& team, node_context& context);

  /** Forgets a waiting ticket. */
  void Cancel(ticket_id ticket, const team_id& team);

  /** Takes back a token that was not used. */
  void Return(const team_id& team, node_context& context);

  /** Refuses what has waited too long, asks for tokens, settles batches. */
  void Tick(node_context& context);

  void Receive(const incarnation& from,
               const grant_request& request,
               node_context& context);
  void Receive(const incarnation& from,
               const grant_answer& answer,
               node_context& context);

  /** Passes share messages on to the keeper and serves waiting tickets. */
  template <typename Message>
  void ReceiveShare(const incarnation& from,
                    const Message& message,
                    node_context& context) {
    shares_.Receive(from, message, context);
  }

  /** Decisions since the last call, in order. */
  std::vector<limit_decision> TakeDecisions();

  /** Tickets that wait for a token. */
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
  /** Tokens that another daemon waits for. */
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
    /** Requests without an answer in time, with the time of sending. */
    std::map<std::uint64_t, steady_time> abandoned;
    std::map<incarnation, std::vector<grant_settlement>> settled;
    /** Tokens in `settled`; they occupy room at the granters. */
    std::uint32_t unsettled_tokens = 0;
    /** Last request served, by asking incarnation. */
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
