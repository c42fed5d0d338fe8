#ifndef GENTIAN_DAEMON_DECISION_LOOP_H_
#define GENTIAN_DAEMON_DECISION_LOOP_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "gentian_decisions/gentian_decisions.h"

namespace gentian {

/** Runs a node on one thread: feeds it events and ticks and passes its
    commands on, in order.
*/
class decision_loop {
 public:
  /** Carries out one command; runs on the loop's thread. */
  using executor = std::function<void(command)>;

  /** Looks at what the node knows; runs on the loop's thread about once a
      second.
  */
  using observer = std::function<void(const cluster_view&)>;

  /** Runs on the loop's thread if the node fails; the loop has ended then. */
  using failure_handler = std::function<void(const error&)>;

  /** @param random  must outlive the loop */
  decision_loop(node_identity identity,
                configuration initial,
                random_source& random,
                executor execute,
                observer observe,
                failure_handler on_failure);
  /** Stops. */
  ~decision_loop();
  decision_loop(const decision_loop&) = delete;
  decision_loop& operator=(const decision_loop&) = delete;

  /** Starts the thread. */
  void Start();

  /** Ends the thread; events that are queued are dropped. */
  void Stop();

  /** Queues an event, from any thread. */
  void Post(event input);

  /** True if so many events wait that new work should be refused. */
  bool IsOverloaded() const;

  /** What the node knows. Only to be used within the executor. */
  const cluster_view& cluster() const { return node_.cluster(); }

 private:
  void Run();
  void RunUntilStopped();
  void Tick();
  void Step(const event& input);

  node node_;
  executor execute_;
  observer observe_;
  failure_handler on_failure_;
  int ticks_ = 0;
  std::thread thread_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<event> queue_;
  std::atomic<std::size_t> backlog_{0};
  bool stopping_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_DECISION_LOOP_H_
