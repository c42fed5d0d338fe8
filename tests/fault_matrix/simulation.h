#ifndef TESTS_FAULT_MATRIX_SIMULATION_H_
#define TESTS_FAULT_MATRIX_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell.h"
#include "support/fake_kv_service.h"
#include "target_fakes.h"
#include "world_log.h"

namespace gentian::fault_matrix {

/** Several nodes in virtual time with fakes for everything around them. Runs
    one cell of the matrix: it watches the commands of the nodes for the cell's
    step and injects the cell's faults there.
*/
class simulation {
 public:
  using part_handler = std::function<void(const answer_part&)>;
  using operator_handler = std::function<void(const result<json>&)>;

  explicit simulation(cell plan);
  simulation(const simulation&) = delete;
  simulation& operator=(const simulation&) = delete;

  /** Lets virtual time pass until a time. */
  void RunUntil(steady_time end);

  /** Runs an action after a delay. */
  void After(milliseconds delay, std::function<void()> action);

  steady_time now() const { return now_; }
  world_log& log() { return log_; }
  target_fakes& targets() { return targets_; }
  const cell& plan() const { return plan_; }
  std::uint64_t Random(std::uint64_t bound) { return random_.Below(bound); }

  /** From now on the step is looked for. */
  void Arm() { armed_ = true; }

  /** True if the cell's step was seen. */
  bool step_reached() const { return step_reached_; }

  /** Opens a caller's connection with one request.

      @param on_part    receives each part of the answer
      @param on_broken  called when the connection ends without a final part
  */
  void Connect(const host_id& host,
               const std::string& key,
               caller_operation operation,
               part_handler on_part,
               std::function<void()> on_broken);

  /** Asks a running daemon as an operator; asks another one if it dies. */
  void Ask(admin_operation operation, operator_handler handler);

  /** Withdraws a team's key, and again until all daemons have confirmed. */
  void Withdraw(const std::string& team);

  /** Starts a planned stop. */
  void Stop(const host_id& host);

  /** Ends a process at once; a new one starts after a while. */
  void Kill(const host_id& host);

  /** Runs a fault at a host. */
  void Inject(fault what, const host_id& host);

  /** A host that runs and is neither paused nor stopping. */
  host_id AnyRunning(const host_id& except = host_id());

  /** The host that owns most sessions so far, by their ids. */
  host_id BusiestOwner() const;

 private:
  struct connection {
    part_handler on_part;
    std::function<void()> on_broken;
    bool silent = false;
    steady_time last_byte;
  };
  struct open_watch {
    call_kv call;
    steady_time ends;
  };
  struct process {
    int number = 0;
    bool up = false;
    bool stopping = false;
    bool disturbed = false;
    steady_time paused_until;
    std::unique_ptr<seeded_random> random;
    std::unique_ptr<node> machine;
    incarnation self;
    std::deque<event> held_events;
    std::deque<command> held_commands;
    std::map<request_id, connection> connections;
    std::map<request_id, operator_handler> operators;
    std::map<dispatch_id, std::shared_ptr<arrived_call>> dispatches;
    std::vector<open_watch> watches;
    std::set<request_id> open_at_stop;
  };

  void Start(const host_id& host);
  void TickAll();
  void CheckConnections();
  void PollWatches();
  void SendPlatformNews();
  void Deliver(const host_id& host, int number, event input);
  void StepNode(const host_id& host, const event& input);
  void CarryOutAll(const host_id& host, std::vector<command> commands);
  void Resume(const host_id& host);
  bool IsPaused(const process& p) const { return now_ < p.paused_until; }

  // Commands.
  void Do(const host_id& host, reply_to_caller& value);
  void Do(const host_id& host, reply_to_operator& value);
  void Do(const host_id& host, send_to_peer& value);
  void Do(const host_id& host, call_kv& value);
  void Do(const host_id& host, dispatch_call& value);
  void Do(const host_id& host, cancel_dispatch& value);
  void Do(const host_id& host, order_target& value);
  void Do(const host_id& host, write_log& value);
  void Do(const host_id& host, stop_completed& value);

  void AnswerKv(const host_id& host,
                kv_call_id id,
                milliseconds delay,
                kv_answer answer);
  void Forge(send_to_peer& value);
  void Forge(answer_part& part);
  void BreakConnections(process& p);
  bool IsCut(const host_id& a, const host_id& b) const;
  bool IsCutFromService(const host_id& host) const;
  void NoteHealing(milliseconds after);
  void RaceOperators();

  cell plan_;
  seeded_random random_;
  world_log log_;
  steady_time now_{std::chrono::hours(1)};
  std::multimap<steady_time, std::function<void()>> queue_;
  std::map<host_id, process> processes_;
  fake_kv_service service_;
  target_fakes targets_;
  request_id next_request_ = 0;
  json other_answer_{{"echo", "nobody"}};
  int next_process_ = 0;
  bool armed_ = false;
  bool step_reached_ = false;
  // Active faults.
  steady_time service_down_until_;
  steady_time service_slow_until_;
  int answers_to_lose_ = 0;
  steady_time partition_until_;
  failure_domain_id partitioned_;
  std::map<host_id, steady_time> silent_until_;
  std::map<host_id, steady_time> disorderly_until_;
  std::map<std::pair<host_id, host_id>, steady_time> last_arrival_;
};

/** True if an operator was told that a withdrawn key is refused everywhere.
    An operator whose daemon reached only a part of the fleet asks again.
*/
bool IsComplete(const result<json>& withdrawal);

/** True if a command is the one that a step is recognized by. */
bool IsStep(step value, const command& next);

}  // namespace gentian::fault_matrix

#endif  // TESTS_FAULT_MATRIX_SIMULATION_H_
