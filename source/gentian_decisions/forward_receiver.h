#ifndef GENTIAN_DECISIONS_FORWARD_RECEIVER_H_
#define GENTIAN_DECISIONS_FORWARD_RECEIVER_H_

#include <functional>
#include <map>
#include <vector>

#include "gentian_decisions/answer_part.h"
#include "gentian_decisions/answer_route.h"
#include "gentian_decisions/caller_operation.h"
#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/session_messages.h"

namespace gentian {

/** Receives requests that entry daemons forward to the owner of a shard.

    Runs each request once, however often it is delivered, and keeps the parts
    of its answer until the entry daemon closes the request.

    @see request_forwarder for the entry daemon's side
*/
class forward_receiver {
 public:
  using request_handler = std::function<void(const caller_identity&,
                                             const caller_operation&,
                                             const answer_route&,
                                             node_context&)>;
  using closed_handler = std::function<void(const answer_route&)>;

  /** @param cluster     members; must outlive this object
      @param on_request  runs a request
      @param on_closed   is called when the entry daemon has closed a request
                         or is gone
  */
  forward_receiver(const cluster_view& cluster,
                   request_handler on_request,
                   closed_handler on_closed);

  void Handle(const incarnation& from,
              const forward_request& message,
              node_context& context);
  void Handle(const incarnation& from, const forward_closed& message);

  /** Stores a part of an answer and sends it to the entry daemon. */
  void Reply(const answer_route& route,
             const answer_part& part,
             node_context& context);

  /** Drops the requests of entry daemons that left or were restarted. */
  void Tick();

 private:
  struct received_request {
    /** All parts of the answer so far; the index is the part number. */
    std::vector<json> parts;
    bool closed = false;
  };
  struct entry_daemon {
    /** Lower request ids are closed at the entry daemon. */
    request_id oldest_open = 0;
    std::map<request_id, received_request> requests;
  };

  static void Send(const incarnation& to,
                   request_id request,
                   std::uint64_t number,
                   const json& part,
                   node_context& context);
  void DropRequestsBelow(const incarnation& from, request_id oldest);
  void NotifyClosed(const incarnation& from, request_id request);

  const cluster_view& cluster_;
  request_handler on_request_;
  closed_handler on_closed_;
  std::map<incarnation, entry_daemon> entries_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_FORWARD_RECEIVER_H_
