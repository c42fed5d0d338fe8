#ifndef GENTIAN_DECISIONS_SESSION_SERVICE_H_
#define GENTIAN_DECISIONS_SESSION_SERVICE_H_

#include "gentian_decisions/call_pipeline.h"
#include "gentian_decisions/caller_gate.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/session_operations.h"
#include "gentian_decisions/session_table.h"
#include "gentian_decisions/shard_manager.h"
#include "gentian_decisions/target_dispatch.h"

namespace gentian {

/** Sessions and calls of one daemon: the facade that a node uses. */
class session_service : private answer_sink, private record_log {
 public:
  /** All parameters must outlive the service. It sets itself as the listener
      of the scheduling.
  */
  session_service(const cluster_view& cluster,
                  kv_access& store,
                  call_scheduling& scheduling);

  /** Handles a request of a caller. Precondition: it is not list_addresses. */
  void Handle(const caller_request& input, node_context& context);
  void Handle(const caller_disconnected& input, node_context& context);
  void Handle(const target_accepted& input, node_context& context);
  void Handle(const target_chunk& input, node_context& context);
  void Handle(const target_finished& input, node_context& context);
  void Handle(const target_failed& input, node_context& context);
  void Handle(const tick& input, node_context& context);

  /** Refuses a key from now on and cuts off callers that use it. */
  void KeyWithdrawn(const std::string& key_hash, node_context& context);

  /** Sessions, calls and shards of this daemon, for operators. */
  json Status() const;

 private:
  void Run(const caller_identity& caller,
           const caller_operation& operation,
           const answer_route& route,
           node_context& context);
  void Open(const caller_identity& caller,
            const open_session& operation,
            const answer_route& route,
            node_context& context);
  void RunPlain(const caller_request& input, node_context& context);
  void Refuse(const answer_route& route, error reason, node_context& context);

  void Reply(const answer_route& route,
             answer_part part,
             node_context& context) override;
  void Replicate(const session_id& session,
                 const session_record& record,
                 commit_handler handler,
                 node_context& context) override;
  void Retire(const session_id& session, node_context& context) override;

  const cluster_view& cluster_;
  caller_gate gate_;
  shard_manager shards_;
  session_table sessions_;
  call_pipeline calls_;
  session_operations operations_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SESSION_SERVICE_H_
