#ifndef GENTIAN_DECISIONS_SESSION_SERVICE_H_
#define GENTIAN_DECISIONS_SESSION_SERVICE_H_

#include "gentian_decisions/call_pipeline.h"
#include "gentian_decisions/caller_authenticator.h"
#include "gentian_decisions/checkpoint_writer.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/forward_receiver.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/replica_store.h"
#include "gentian_decisions/replicator.h"
#include "gentian_decisions/request_forwarder.h"
#include "gentian_decisions/session_operations.h"
#include "gentian_decisions/session_table.h"
#include "gentian_decisions/shard_adopter.h"
#include "gentian_decisions/shard_cleaner.h"
#include "gentian_decisions/shard_drain.h"
#include "gentian_decisions/shard_locator.h"
#include "gentian_decisions/shard_manager.h"
#include "gentian_decisions/target_dispatch.h"

namespace gentian {

/** Facade over the sessions, shards and calls of one daemon. */
class session_service : private answer_sink, private shard_owner_listener {
 public:
  /** All parameters must outlive the service. Sets the listener of the
      scheduling.
  */
  session_service(const cluster_view& cluster,
                  kv_access& store,
                  call_scheduling& scheduling);

  /** Executes a request of a caller, or forwards it to the daemon that owns the
      session. Precondition: the operation is not list_addresses. */
  void Handle(const caller_request& input, node_context& context);
  void Handle(const peer_received& input, node_context& context);
  void Handle(const caller_disconnected& input, node_context& context);
  void Handle(const target_accepted& input, node_context& context);
  void Handle(const target_chunk& input, node_context& context);
  void Handle(const target_finished& input, node_context& context);
  void Handle(const target_failed& input, node_context& context);
  void Handle(const tick& input, node_context& context);

  /** Refuses a key from now on and ends the requests that use it. */
  void KeyWithdrawn(const std::string& key_hash, node_context& context);

  /** Begins a planned stop: opens no new root sessions and hands the shards
      over. */
  void StartDraining(node_context& context);

  /** True once a planned stop has completed: no shard is left that another
      daemon could take, the addresses handed out have expired, and no calls or
      forwarded requests are left. */
  bool IsDrained(steady_time now) const;

  /** Number of sessions and calls, and the shards, for operators. */
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
  /** Runs an operation if this daemon serves the shard; false if not. */
  bool RunIfServed(const caller_identity& caller,
                   const caller_operation& operation,
                   const answer_route& route,
                   const shard_id& shard,
                   node_context& context);
  void RunForwarded(const caller_identity& caller,
                    const caller_operation& operation,
                    const answer_route& route,
                    node_context& context);
  /** Tells all live members that this daemon owns a shard. */
  void AnnounceOwner(const shard_id& shard,
                     const shard_record& record,
                     node_context& context);
  void RunPlain(const caller_request& input, node_context& context);
  void Refuse(const answer_route& route, error reason, node_context& context);

  void Reply(const answer_route& route,
             answer_part part,
             node_context& context) override;
  void ShardAdopted(const shard_id& shard,
                    const shard_record& record,
                    node_context& context) override;
  void ShardLost(const shard_id& shard,
                 const incarnation& owner,
                 node_context& context) override;

  void HandleFenced(const incarnation& from,
                    const store_refused& message,
                    node_context& context);
  void HandleOwnerChange(const owner_changed& message, node_context& context);
  /** Caller address of a daemon, empty if it is not a member. */
  std::string AddressOf(const incarnation& owner) const;

  const cluster_view& cluster_;
  caller_authenticator authenticator_;
  replica_store replica_store_;
  replicator copies_;
  session_table sessions_;
  shard_manager shards_;
  shard_adopter adopter_;
  checkpoint_writer checkpoints_;
  call_pipeline calls_;
  session_operations operations_;
  shard_locator locator_;
  request_forwarder forwarder_;
  forward_receiver forward_receiver_;
  shard_drain drain_;
  shard_cleaner cleaner_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SESSION_SERVICE_H_
