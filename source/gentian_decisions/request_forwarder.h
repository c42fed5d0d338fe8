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

/** Entry side of forwarding: sends callers' requests to the owner of their
    shard, passes the answers on, and follows the shard to a new owner.

    A request can reach two owners one after the other. That is safe, because
    each call carries an idempotency key, and only an owner whose records are
    acknowledged dispatches it.

    @see forward_receiver for the owner's side
*/
class request_forwarder {
 public:
  /** Carries out a request whose shard is owned here.
      @returns  false if the shard is not served at the moment */
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

  /** Takes a request for a shard that is not served here. */
  void Forward(const caller_identity& caller,
               caller_operation operation,
               const answer_route& route,
               const shard_id& shard,
               node_context& context);

  void Handle(const incarnation& from,
              const forward_part& message,
              node_context& context);

  /** The caller's connection is gone. */
  void CallerGone(const answer_route& route, node_context& context);

  /** Cuts off callers with a key. */
  void KeyWithdrawn(const std::string& key_hash, node_context& context);

  /** Sends again, follows shards to new owners, gives up. */
  void Tick(node_context& context);

  /** Requests that have no complete answer. */
  std::size_t size() const { return requests_.size(); }

 private:
  struct open_request {
    caller_identity caller;
    caller_operation operation;
    answer_route route;
    shard_id shard;
    /** This daemon's incarnation when the request was last sent. */
    incarnation sent_as;
    std::optional<incarnation> owner;
    steady_time last_activity;
    steady_time retry_at;
    /** Since when no owner can be reached. */
    std::optional<steady_time> unreachable_since;
    bool was_sent = false;
    /** What may be reported while the owner has not been asked. */
    call_outcome unsent_outcome = call_outcome::not_run;
    std::uint64_t next_part = 0;
    std::map<std::uint64_t, json> out_of_order_parts;
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
