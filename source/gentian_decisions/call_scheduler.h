#ifndef GENTIAN_DECISIONS_CALL_SCHEDULER_H_
#define GENTIAN_DECISIONS_CALL_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gentian_decisions/call_scheduling.h"
#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/engine_memory.h"
#include "gentian_decisions/pool_scheduler.h"
#include "gentian_decisions/retry_policy.h"
#include "gentian_decisions/scheduling_messages.h"
#include "gentian_decisions/team_limiter.h"

namespace gentian {

/** The scheduling part of a node: joins team_limiter, pool_scheduler,
    retry_policy and engine_memory.

    The daemon that ranks first for a pool by rendezvous hash keeps the pool's
    queue. The others submit their calls to it, repeat them every second, and
    schedule by themselves when it does not answer.
*/
class call_scheduler : public call_scheduling {
 public:
  /** Without an answer for this long a daemon schedules by itself. */
  static constexpr milliseconds kAnswerTimeout{300};
  /** Queued and running calls are reported this often. */
  static constexpr milliseconds kReportInterval{1'000};
  /** A new scheduling daemon collects reports before it assigns. */
  static constexpr milliseconds kTakeoverDelay{100};
  /** A call starts without its cache if the import takes longer. */
  static constexpr milliseconds kImportTimeout{2'000};

  /** @param view  must outlive the scheduler */
  explicit call_scheduler(const cluster_view& view);

  void SetListener(listener* target) override { listener_ = target; }
  void Admit(const work_item& item, node_context& context) override;
  void Enqueue(ticket_id ticket, node_context& context) override;
  void Withdraw(ticket_id ticket, node_context& context) override;
  void Finish(ticket_id ticket,
              const call_usage& usage,
              node_context& context) override;
  std::optional<milliseconds> Fail(ticket_id ticket,
                                   target_failure failure,
                                   bool repeatable,
                                   node_context& context) override;
  void SessionEnded(const session_id& session, node_context& context) override;

  /** Handles a load report of a target. */
  void Receive(const target_load& load, node_context& context);

  /** Handles a change in an engine's cache. */
  void Receive(const target_cache_event& change, node_context& context);

  /** Handles the answer to an order to a target. */
  void Receive(const target_order_answered& answer, node_context& context);

  /** Handles the platform's list of hosts. */
  void Receive(const host_list_received& list, node_context& context);

  /** Handles a message from another daemon.
      @returns  true if it is one of scheduling_messages.h */
  bool Receive(const incarnation& from,
               const peer_message& message,
               node_context& context);

  /** Must be called every kTickInterval. */
  void Tick(node_context& context);

  /** State for operators: queues, calls in flight, waiting tickets. */
  json Status() const;

 private:
  enum class stage { limited, admitted, queued, running, failed };

  struct call_state {
    work_item item;
    stage current_stage = stage::limited;
    /** Number of the current submission. */
    ticket_id submission = 0;
    /** Daemon that has the call in its queue; empty if this one. */
    std::optional<incarnation> scheduler;
    steady_time queued_since;
    steady_time first_submitted;
    steady_time last_submitted;
    bool is_answered = false;
    target_id target;
    int attempts = 0;
  };
  struct pool_state {
    explicit pool_state(pool_scheduler created)
        : local_scheduler(std::move(created)) {}

    pool_scheduler local_scheduler;
    std::optional<incarnation> scheduler;
    /** True while the scheduling daemon gives no answers. */
    bool is_unresponsive = false;
    std::uint64_t term = 0;
    steady_time assign_after;
    steady_time last_report;
  };
  /** A call with a slot whose cache is being imported. */
  struct pending_import {
    call_key key;
    pool_id pool;
    target_id target;
    steady_time started;
  };

  void Handle(const incarnation& from,
              const pool_submission& message,
              node_context& context);
  void Handle(const incarnation& from,
              const pool_accepted& message,
              node_context& context);
  void Handle(const incarnation& from,
              const pool_assignment& message,
              node_context& context);
  void Handle(const incarnation& from,
              const pool_departure& message,
              node_context& context);
  void Handle(const incarnation& from,
              const pool_running& message,
              node_context& context);
  void Handle(const incarnation& from,
              const pool_session_ended& message,
              node_context& context);
  template <typename Message>
  void Handle(const incarnation& from,
              const Message& message,
              node_context& context);

  /** Delivers decisions of the parts until none is left. */
  void ProcessDecisions(node_context& context);
  void ProcessUntilIdle(node_context& context);
  void AssignSlots(pool_state& pool, node_context& context);
  void ApplyDecision(const slot_decision& decision, node_context& context);
  void StartCall(call_state& call,
                 const target_id& target,
                 node_context& context);
  void DeliverAssignment(const call_key& key,
                         const pool_id& pool,
                         const target_id& target,
                         node_context& context);
  void FinishImport(order_id id, node_context& context);

  pool_state& Pool(const pool_id& id);
  bool SchedulesLocally(const pool_state& pool) const;
  std::uint32_t SlotDivisor(const pool_state& pool) const;
  void SelectSchedulers(node_context& context);
  void ChangeScheduler(const pool_id& id,
                       pool_state& pool,
                       const incarnation& next,
                       node_context& context);
  void SubmitCall(call_state& call, bool to_self, node_context& context);
  void SubmitLocally(const call_state& call,
                     pool_state& pool,
                     node_context& context);
  void ReportRunning(const pool_id& id,
                     pool_state& pool,
                     node_context& context);
  void RepeatSubmissions(node_context& context);
  void Depart(call_state& call,
              pool_departure::reason why,
              const call_usage& usage,
              node_context& context);
  void RecordDeparture(const slot_holder& holder,
                       pool_departure::reason why,
                       const call_usage& usage,
                       node_context& context);
  void RecordAnswer(const pool_id& pool,
                    std::uint64_t term,
                    const incarnation& from);
  std::size_t PoolSize(const pool_id& id) const;
  call_state* FindSubmission(ticket_id submission);
  void Erase(ticket_id ticket);

  const cluster_view& view_;
  listener* listener_ = nullptr;
  team_limiter limiter_;
  retry_policy retries_;
  engine_memory memory_;
  std::map<pool_id, pool_state> pools_;
  std::map<ticket_id, call_state> calls_;
  std::map<ticket_id, ticket_id> submissions_;
  std::map<order_id, pending_import> imports_;
  ticket_id last_submission_ = 0;
  std::set<pool_id> pools_to_assign_;
  bool processing_ = false;
  steady_time last_selection_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALL_SCHEDULER_H_
