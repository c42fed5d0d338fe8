#ifndef GENTIAN_DECISIONS_SESSION_OPERATIONS_H_
#define GENTIAN_DECISIONS_SESSION_OPERATIONS_H_

#include <map>
#include <set>
#include <string>

#include "gentian_decisions/call_pipeline.h"
#include "gentian_decisions/caller_identity.h"
#include "gentian_decisions/caller_operation.h"

namespace gentian {

/** Executes callers' operations on the sessions of this daemon. */
class session_operations {
 public:
  /** All parameters must outlive this object. */
  session_operations(const cluster_view& cluster,
                     call_scheduling& scheduling,
                     session_table& sessions,
                     call_pipeline& calls,
                     answer_sink& answers);

  /** Opens a session.

      @param shard  a shard of this daemon; for a child session, the parent's
  */
  void Open(const caller_identity& caller,
            const open_session& operation,
            const shard_id& shard,
            const answer_route& route,
            node_context& context);

  void Call(const caller_identity& caller,
            const model_call& operation,
            const answer_route& route,
            node_context& context);

  void Call(const caller_identity& caller,
            const tool_call& operation,
            const answer_route& route,
            node_context& context);

  /** Sends the events of a call after the one that the caller names. */
  void Resume(const caller_identity& caller,
              const resume_events& operation,
              const answer_route& route,
              node_context& context);

  /** Replies with the calls of a session. */
  void History(const caller_identity& caller,
               const read_history& operation,
               const answer_route& route,
               node_context& context);

  /** Ends a session after its children; replies when the end is committed. */
  void End(const caller_identity& caller,
           const end_session& operation,
           const answer_route& route,
           node_context& context);

  /** Completes what the previous owner of a shard left open: finishes its
      interrupted calls with an unknown outcome, and retires sessions that had
      ended.

      @param restored  true if the shard was restored from checkpoints, so that
                       some of its sessions may have been lost
  */
  void AdoptShard(const shard_id& shard, bool restored, node_context& context);

  /** Fails the requests that wait for records of a shard that was lost.

      @param owner_address  address of the new owner, empty if unknown
  */
  void AbandonShard(const shard_id& shard,
                    const std::string& owner_address,
                    node_context& context);

  /** Continues the ending of sessions and fails requests whose records are
      overdue. */
  void Tick(node_context& context);

  /** True if a request waits for a record of a shard. */
  bool IsWaitingIn(const shard_id& shard) const;

 private:
  /** A request to open or end a session that waits for its records to be
      committed. */
  struct pending_request {
    shard_id shard;
    answer_route route;
    steady_time deadline;
    bool is_opening = false;
  };

  /** The caller's session; refuses the request and returns nullptr if there is
      none that is open. */
  session* FindOrRefuse(const caller_identity& caller,
                        const session_id& id,
                        const answer_route& route,
                        node_context& context);
  /** Computes the limits of a new session. Error: they exceed what remains of
      the parent's budget. */
  std::optional<error> ComputeLimits(const open_session& operation,
                                     const team_settings& team,
                                     const session* parent,
                                     budget_limits& limits,
                                     node_context& context) const;
  void OpenRootSession(const shard_id& shard,
                       const session_opened& opened,
                       std::uint64_t pending,
                       node_context& context);
  void RecordOpening(const session_id& id,
                     const session_opened& opened,
                     std::uint64_t pending,
                     node_context& context);
  /** Sets the fields that model and tool calls have in common. */
  template <typename Operation>
  call_request RequestFor(const caller_identity& caller,
                          const Operation& operation,
                          const session& owner,
                          const answer_route& route) const;
  /** The caller's key, or one derived from the sequence number or the request
      id, in this order. */
  std::string IdempotencyKeyFor(const std::string& given,
                                const std::optional<std::uint64_t>& sequence,
                                const session& owner,
                                const answer_route& route) const;
  void FinishInterruptedCalls(session& adopted, node_context& context);
  void BeginEnd(session& target, node_context& context);
  void TryEnd(const session_id& id, node_context& context);
  void CompleteEnd(const session_id& id, node_context& context);
  std::uint64_t AddPending(const shard_id& shard,
                           const answer_route& route,
                           bool is_opening,
                           node_context& context);
  void AnswerPending(std::uint64_t id, json body, node_context& context);
  void FailPending(std::uint64_t id, error reason, node_context& context);
  void Refuse(const answer_route& route, error reason, node_context& context);

  const cluster_view& cluster_;
  call_scheduling& scheduling_;
  session_table& sessions_;
  call_pipeline& calls_;
  answer_sink& answers_;
  std::map<std::uint64_t, pending_request> pending_;
  /** Sessions that are ending; true once session_ended is being replicated. */
  std::map<session_id, bool> ending_;
  /** Ids in pending_ of the requests to end a session. */
  std::multimap<session_id, std::uint64_t> end_requests_;
  /** Shards that were restored from checkpoints. */
  std::set<shard_id> restored_shards_;
  std::uint64_t last_pending_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SESSION_OPERATIONS_H_
