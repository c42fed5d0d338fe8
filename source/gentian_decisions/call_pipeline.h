#ifndef GENTIAN_DECISIONS_CALL_PIPELINE_H_
#define GENTIAN_DECISIONS_CALL_PIPELINE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "gentian_decisions/answer_sink.h"
#include "gentian_decisions/call_run.h"
#include "gentian_decisions/call_scheduling.h"
#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/event_buffer.h"
#include "gentian_decisions/session_table.h"

namespace gentian {

class target_dispatch;

/** Runs calls from arrival to answer. A call waits for earlier calls of its
    session and for admission, its call_started record is replicated, it waits
    for a slot and is dispatched to a target, and its call_finished record is
    replicated.

    A call is reported as call_outcome::not_run only if call_started was not
    sent to any replica, or if a record states that the call has not run.

    @see target_dispatch for the exchange with the target
*/
class call_pipeline : public call_scheduling::listener {
 public:
  /** All parameters must outlive the pipeline. */
  call_pipeline(const cluster_view& cluster,
                call_scheduling& scheduling,
                session_table& sessions,
                answer_sink& answers);
  ~call_pipeline() override;

  /** Sets the function that returns the fencing token of a shard, which is
      sent to targets. */
  void SetFencingSource(std::function<std::uint64_t(const shard_id&)> source);

  /** Accepts a call. A duplicate of a known call gets that call's answer. */
  void Submit(call_request request,
              const answer_route& route,
              node_context& context);

  /** Sends the events of a call with ids above after_event, and its end. */
  void Resume(session& source,
              std::uint64_t call,
              std::uint64_t after_event,
              const answer_route& route,
              node_context& context);

  /** Ends all calls of a session. Calls that cannot have reached a target are
      reported as not run. */
  void AbortSession(const session_id& session, node_context& context);

  /** Drops the calls of a shard that has a new owner. Their callers are told
      that the session moved; the outcome is not_run only for calls that the
      new owner cannot find in its records.
  */
  void AbandonShard(const shard_id& shard,
                    const std::string& owner_address,
                    node_context& context);

  /** Removes the route of a closed connection. The call continues. */
  void CallerGone(const answer_route& route);

  /** Ends the answers to callers with a withdrawn key, and aborts calls
      started with it that are not dispatched and have no other caller.
  */
  void KeyWithdrawn(const std::string& key_hash, node_context& context);

  /** Ends calls at their deadlines, starts retries that are due, and checks
      for silent streams. */
  void Tick(node_context& context);

  /** Number of calls that have not ended. */
  std::size_t size() const { return runs_.size(); }

  /** True if a shard has a call that has not ended. */
  bool HasCallsIn(const shard_id& shard) const;

  /** True if a session has a call that has not ended. */
  bool HasCallsOf(const session_id& session) const;

  event_buffer& events() { return events_; }
  target_dispatch& targets() { return *targets_; }

  void CallAdmitted(ticket_id ticket, node_context& context) override;
  void CallAssigned(ticket_id ticket,
                    const target_settings& target,
                    node_context& context) override;
  void CallRefused(ticket_id ticket,
                   const error& reason,
                   node_context& context) override;

 private:
  friend class target_dispatch;

  bool AnswerDuplicate(session& owner,
                       const call_request& request,
                       const answer_route& route,
                       node_context& context);
  bool JoinOpenCall(const call_request& request,
                    const answer_route& route,
                    node_context& context);
  void AnswerFromRecord(const session& owner,
                        const session_call& call,
                        std::uint64_t after_event,
                        const answer_route& route,
                        node_context& context);
  void BeginAdmission(ticket_id ticket, node_context& context);
  std::optional<error> CheckStart(const session& owner,
                                  const call_run& run,
                                  node_context& context) const;
  budget_amount ReservationOf(const session& owner, const call_run& run) const;
  std::uint64_t CostOf(std::uint64_t tokens) const;
  std::uint64_t MaxTokensOf(const session& owner, const call_run& run) const;
  void HandleStartCommitted(ticket_id ticket, node_context& context);
  void Refuse(ticket_id ticket, error reason, node_context& context);
  void Finish(call_run& run, call_finished result, node_context& context);
  void FinishFailed(call_run& run, error reason, node_context& context);
  void Complete(ticket_id ticket,
                const call_finished& result,
                node_context& context);
  void Retry(call_run& run, node_context& context);
  void AppendRetry(call_run& run, session& owner, node_context& context);
  void Abort(call_run& run, const error& reason, node_context& context);
  std::vector<ticket_id> Tickets() const;
  void CheckTimers(ticket_id ticket, node_context& context);
  void EndAtDeadline(call_run& run, node_context& context);
  void DropCallersWithKey(call_run& run,
                          const std::string& key_hash,
                          node_context& context);
  void AnswerAll(call_run& run, answer_part part, node_context& context);
  void Remove(ticket_id ticket, node_context& context);
  call_run* FindRun(ticket_id ticket);
  work_item WorkItemOf(const call_run& run, const session* owner) const;

  const cluster_view& cluster_;
  call_scheduling& scheduling_;
  session_table& sessions_;
  answer_sink& answers_;
  std::unique_ptr<target_dispatch> targets_;
  event_buffer events_;
  std::map<ticket_id, call_run> runs_;
  /** Open calls of each session in order; only the first one is active. */
  std::map<session_id, std::deque<ticket_id>> session_queues_;
  ticket_id last_ticket_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALL_PIPELINE_H_
