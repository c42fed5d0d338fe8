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

/** Owner side of forwarding: takes each request once and keeps the parts of
    its answer until the entry daemon has them.
*/
class forward_receiver {
 public:
  using request_handler = std::function<void(const caller_identity&,
                                             const caller_operation&,
                                             const answer_route&,
                                             node_context&)>;
  using closed_handler = std::function<void(const answer_route&)>;

  /** @param cluster  members; must outlive this object
      @param run      carries out a request
      @param gone     is told that nobody waits for an answer any more
  */
  forward_receiver(const cluster_view& cluster,
                   request_handler run,
                   closed_handler gone);

  void Handle(const incarnation& from,
              const forward_request& message,
              node_context& context);
  void Handle(const incarnation& from, const forward_closed& message);

  /** Sends a part of an answer to the entry daemon. */
  void Reply(const answer_route& route,
             const answer_part& part,
             node_context& context);

  /** Drops the requests of entry daemons that are gone. */
  void Tick();

 private:
  struct received_request {
    std::vector<json> parts;
    bool closed = false;
  };
  struct entry_daemon {
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
