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

/** Schedules the calls of a daemon with team_limiter, pool_scheduler,
    retry_policy and engine_memory.

    The daemon that rendezvous hashing ranks first for a pool is the pool's
    scheduling daemon and keeps its queue. The other daemons submit their calls
    to it and resend them every second. If it does not answer, a daemon
    schedules its own calls, on its share of the slots.
*/
class call_scheduler : public call_scheduling {
 public:
  /** Timeout for the scheduling daemon's answer to a submission, after which
      the submitting daemon schedules the call itself. */
  static constexpr milliseconds kAnswerTimeout{300};
  /** Interval at which queued and running calls are reported. */
  static constexpr milliseconds kReportInterval{1'000};
  /** Delay before a new scheduling daemon assigns slots, in which it collects
      reports of running calls. */
  static constexpr milliseconds kTakeoverDelay{100};
  /** Timeout of a cache import, after which the call starts without it. */
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

  void Receive(const target_load& load, node_context& context);

  void Receive(const target_cache_event& change, node_context& context);

  void Receive(const target_order_answered& answer, node_context& context);

  void Receive(const host_list_received& list, node_context& context);

  /** Handles a message from another daemon.
      @returns  false if its type is not in scheduling_messages.h */
  bool Receive(const incarnation& from,
               const peer_message& message,
               node_context& context);

  /** Must be called every kTickInterval. */
  void Tick(node_context& context);

  /** State for operators: queues, running calls and waiting tickets. */
  json Status() const;

 private:
  enum class stage { limited, admitted, queued, running, failed };

  struct call_state {
    work_item item;
    stage current_stage = stage::limited;
    /** Number of the current submission; 0 if there is none. */
    ticket_id submission = 0;
    /** Daemon that has the call in its queue; empty for this daemon. */
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
    /** True while the scheduling daemon does not answer submissions. */
    bool is_unresponsive = false;
    std::uint64_t term = 0;
    steady_time assign_after;
    steady_time last_report;
  };
  /** A call that has a slot and waits for the import of its cache. */
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

  /** Delivers rate limit decisions and assigns slots until nothing is pending.
      Does nothing if it is called from within itself. */
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
