#ifndef GENTIAN_DAEMON_SUPERVISOR_H_
#define GENTIAN_DAEMON_SUPERVISOR_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** How often a child may be restarted before the supervisor gives up. */
struct restart_policy {
  int max_restarts = 8;
  /** Restarts older than this do not count. */
  milliseconds window{60'000};
  /** Delay before the second restart; doubles with each further one. */
  milliseconds first_delay{100};
  milliseconds max_delay{5'000};
};

/** A part of the daemon that the supervisor starts, restarts and stops. */
struct supervised_child {
  std::string name;
  std::function<result<success>()> start;
  std::function<void()> stop;
  restart_policy policy;
};

/** Starts children in order, restarts one that fails and stops all in reverse
    order. Thread-safe.
*/
class supervisor {
 public:
  /** Runs a function after a delay. */
  using scheduler = std::function<void(duration, std::function<void()>)>;

  /** @param schedule    for delayed restarts
      @param on_give_up  runs once, when a child fails more often than its
                         policy allows
  */
  supervisor(scheduler schedule, std::function<void(const error&)> on_give_up);

  /** Adds a child. Precondition: not started. */
  void Add(supervised_child child);

  /** Starts all children. If one fails, those before it are stopped. */
  result<success> Start();

  /** Stops all children that run, last first. */
  void Stop();

  /** A child reports that it can not go on; it is restarted. */
  void Report(const std::string& name, const error& reason);

 private:
  struct entry {
    supervised_child child;
    bool running = false;
    std::vector<steady_time> restarts;
  };

  void Restart(const std::string& name, const error& reason);
  entry* Find(const std::string& name);

  scheduler schedule_;
  std::function<void(const error&)> on_give_up_;
  std::recursive_mutex mutex_;
  std::vector<entry> entries_;
  bool stopped_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_SUPERVISOR_H_
