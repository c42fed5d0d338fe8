#ifndef GENTIAN_DECISIONS_REQUEST_FORWARDER_H_
#define GENTIAN_DECISIONS_REQUEST_FORWARDER_H_

#include <functional>
#include <map>
#include <optional>

#include "gentian_decisions/answer_sink.h"
#include "gentian_decisions/caller_identity.h"
#include "gentian_decisions/caller_operation.h"
#include "gentian_decisions/session_messages.h"
#include "gentian_decisions/shard_locator.h"

namespace gentian {

/** Forwards callers' requests from the entry daemon to the owner of their
    shard, relays the answers, and sends a request to the new owner if the shard
    moves.

    A request can therefore reach two owners, one after the other. This is safe:
    each call has an idempotency key, and an owner dispatches a call only after
    the replicas have acknowledged its records.

    @see forward_receiver for the owner's side
*/
class request_forwarder {
 public:
  /** Runs a request whose shard this daemon owns.

      @returns  false if this daemon does not serve the shard at the moment
  */
  using local_runner = std::function<bool(const caller_identity&,
                                          const caller_operation&,
                                          const answer_route&,
                                          const shard_id&,
                                          node_context&)>;

  /** All parameters must outlive this object. */
  request_forwarder(const cluster_view& cluster,
                    shard_locator& locator,
                    answer_sink& answers,
                    local_runner run_here);

  /** Accepts a request for a shard that is not served here. */
  void Forward(const caller_identity& caller,
               caller_operation operation,
               const answer_route& route,
               const shard_id& shard,
               node_context& context);

  void Handle(const incarnation& from,
              const forward_part& message,
              node_context& context);

  /** Drops the request of a caller whose connection was closed. */
  void CallerGone(const answer_route& route, node_context& context);

  /** Ends all requests made with a withdrawn key. */
  void KeyWithdrawn(const std::string& key_hash, node_context& context);

  /** Resends requests, routes them to new owners, and ends those whose owner
      was unreachable for too long. */
  void Tick(node_context& context);

  /** Number of requests without a complete answer. */
  std::size_t size() const { return requests_.size(); }

 private:
  struct open_request {
    caller_identity caller;
    caller_operation operation;
    answer_route route;
    shard_id shard;
    /** This daemon's incarnation when the request was last sent. */
    incarnation sent_as;
    /** Owner that the request was last sent to; empty while none is known to
        be reachable. */
    std::optional<incarnation> owner;
    /** When the request was last sent or a part was last received. */
    steady_time last_activity;
    steady_time retry_at;
    /** Time since which no owner has been reachable. */
    std::optional<steady_time> unreachable_since;
    /** True once the request was sent to any owner. */
    bool was_sent = false;
    /** Outcome to report if the request fails before it was sent. */
    call_outcome unsent_outcome = call_outcome::not_run;
    /** Number of the next part to deliver to the caller. */
    std::uint64_t next_part = 0;
    /** Parts received ahead of next_part, by number. */
    std::map<std::uint64_t, json> out_of_order_parts;
    /** Id of the last event delivered to the caller. */
    std::uint64_t last_event = 0;
  };

  void RouteRequest(request_id id, node_context& context);
  void SendTo(request_id id, const incarnation& owner, node_context& context);
  void ResendOrReroute(request_id id, node_context& context);
  void Emit(request_id id, const open_request& request, node_context& context);
  void WaitForOwner(request_id id, node_context& context);
  void Deliver(request_id id, const json& encoded, node_context& context);
  void HandleMoved(request_id id, node_context& context);
  void Close(request_id id, node_context& context);
  void End(request_id id, answer_part part, node_context& context);
  request_id Renumber(request_id id);

  const cluster_view& cluster_;
  shard_locator& locator_;
  answer_sink& answers_;
  local_runner run_here_;
  std::map<request_id, open_request> requests_;
  request_id last_request_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_REQUEST_FORWARDER_H_
