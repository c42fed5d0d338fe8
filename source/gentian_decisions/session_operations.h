#ifndef GENTIAN_DECISIONS_SESSION_OPERATIONS_H_
#define GENTIAN_DECISIONS_SESSION_OPERATIONS_H_

#include <map>
#include <set>
#include <string>

#include "gentian_decisions/call_pipeline.h"
#include "gentian_decisions/caller_identity.h"
#include "gentian_decisions/caller_operation.h"

namespace gentian {

/** Carries out callers' operations on the sessions of this daemon. */
class session_operations {
 public:
  /** All parameters must outlive this object. */
  session_operations(const cluster_view& cluster,
                     call_scheduling& scheduling,
                     session_table& sessions,
                     call_pipeline& calls,
                     answer_sink& answers);

  /** Opens a session.

      @param shard  an active shard of this daemon, or the parent's shard
  */
  void Open(const caller_identity& caller,
            const open_session& operation,
            const shard_id& shard,
            const answer_route& route,
            node_context& context);

  /** Takes a model call. */
  void Call(const caller_identity& caller,
            const model_call& operation,
            const answer_route& route,
            node_context& context);

  /** Takes a tool call. */
  void Call(const caller_identity& caller,
            const tool_call& operation,
            const answer_route& route,
            node_context& context);

  /** Attaches to the events of a call. */
  void Resume(const caller_identity& caller,
              const resume_events& operation,
              const answer_route& route,
              node_context& context);

  /** Answers with the calls of a session. */
  void History(const caller_identity& caller,
               const read_history& operation,
               const answer_route& route,
               node_context& context);

  /** Ends a session and its children. */
  void End(const caller_identity& caller,
           const end_session& operation,
           const answer_route& route,
           node_context& context);

  /** Brings the sessions of an adopted shard into order: calls that were
      interrupted get an end, sessions that had ended are given up.

      @param restored  true if sessions of the shard may have been lost
  */
  void AdoptShard(const shard_id& shard, bool restored, node_context& context);

  /** Answers requests that wait for records of a shard that was lost. */
  void AbandonShard(const shard_id& shard,
                    const std::string& owner_address,
                    node_context& context);

  /** Goes on with sessions that are ending. */
  void Tick(node_context& context);

  /** True if a request waits for a record of a shard. */
  bool IsWaitingIn(const shard_id& shard) const;

 private:
  /** An opening or ending that waits for its records. */
  struct pending_request {
    shard_id shard;
    answer_route route;
    steady_time deadline;
    bool opening = false;
  };

  session* Owned(const caller_identity& caller,
                 const session_id& id,
                 const answer_route& route,
                 node_context& context);
  std::optional<error> Limit(const open_session& operation,
                             const team_settings& team,
                             const session* parent,
                             budget_limits& limits,
                             node_context& context) const;
  void OpenRecorded(const shard_id& shard,
                    const session_opened& opened,
                    std::uint64_t pending,
                    node_context& context);
  void RecordOpening(const session_id& id,
                     const session_opened& opened,
                     std::uint64_t pending,
                     node_context& context);
  /** The fields that model and tool calls have in common. */
  template <typename Operation>
  call_request RequestFor(const caller_identity& caller,
                          const Operation& operation,
                          const session& owner,
                          const answer_route& route) const;
  std::string KeyOf(const std::string& given,
                    const std::optional<std::uint64_t>& sequence,
                    const session& owner,
                    const answer_route& route) const;
  void CloseInterrupted(session& adopted, node_context& context);
  void BeginEnd(session& target, node_context& context);
  void TryEnd(const session_id& id, node_context& context);
  void Ended(const session_id& id, node_context& context);
  std::uint64_t AddPending(const shard_id& shard,
                           const answer_route& route,
                           bool opening,
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
  /** Sessions that are ending, with the requests that wait for it; true once
      session_ended is being copied. */
  std::map<session_id, bool> ending_;
  std::multimap<session_id, std::uint64_t> end_requests_;
  std::set<shard_id> restored_shards_;
  std::uint64_t last_pending_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SESSION_OPERATIONS_H_
