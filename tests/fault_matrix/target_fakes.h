#ifndef TESTS_FAULT_MATRIX_TARGET_FAKES_H_
#define TESTS_FAULT_MATRIX_TARGET_FAKES_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cell.h"
#include "world_log.h"

namespace gentian::fault_matrix {

/** One dispatch, as a target sees it. */
struct arrived_call {
  dispatch_call call;
  /** Delivers an event to the daemon that dispatched, after a delay. */
  std::function<void(milliseconds, event)> answer;
  bool cancelled = false;
  bool silent = false;
};

/** Engines and tool services in memory. They record every execution. */
class target_fakes {
 public:
  /** Runs an action after a delay in virtual time. */
  using scheduler = std::function<void(milliseconds, std::function<void()>)>;

  target_fakes(world_log& log, sabotage broken, scheduler after)
      : log_(log), broken_(broken), after_(std::move(after)) {}

  /** A call arrives at its target. */
  void Arrive(const std::shared_ptr<arrived_call>& arrived, steady_time now);

  /** A control request arrives.

      @returns the answer
  */
  target_order_answered Order(const order_target& order);

  /** Cache events that have not been collected yet. */
  std::vector<target_cache_event> TakeCacheEvents();

  /** Load reports of all targets. */
  std::vector<target_load> Loads() const;

  /** Tool services accept calls and never answer until a time. */
  void HangToolsUntil(steady_time end) { tools_hang_until_ = end; }

  /** A target announces that it leaves. */
  void Leave(const target_id& target) { leaving_.insert(target); }

  /** Targets that are leaving. */
  const std::set<target_id>& leaving() const { return leaving_; }

  /** Writes what the engines still hold into the log. */
  void RecordHoldings();

 private:
  void RunTool(const std::shared_ptr<arrived_call>& arrived, steady_time now);
  void RunEngine(const std::shared_ptr<arrived_call>& arrived, steady_time now);
  void Stream(const std::shared_ptr<arrived_call>& arrived,
              const std::string& stream,
              std::size_t from);
  execution& Record(const arrived_call& arrived,
                    const std::string& marker,
                    steady_time now);
  void Hold(const target_id& engine, const session_id& session);

  struct stream_state {
    std::vector<std::string> parts;
    target_finished finish;
  };

  world_log& log_;
  sabotage broken_;
  scheduler after_;
  steady_time tools_hang_until_;
  std::set<target_id> leaving_;
  std::map<std::string, stream_state> streams_;
  std::map<target_id, std::set<session_id>> cache_;
  std::map<target_id, std::uint64_t> cache_events_;
  std::vector<target_cache_event> new_events_;
  std::uint64_t next_stream_ = 0;
};

/** Text that an engine generates for a marker. */
std::string GeneratedText(const std::string& marker);

}  // namespace gentian::fault_matrix

#endif  // TESTS_FAULT_MATRIX_TARGET_FAKES_H_
