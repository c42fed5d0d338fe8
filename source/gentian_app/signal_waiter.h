#ifndef GENTIAN_APP_SIGNAL_WAITER_H_
#define GENTIAN_APP_SIGNAL_WAITER_H_

#include <functional>
#include <thread>

namespace gentian {

/** Handles SIGTERM and SIGINT on a thread of its own. Must be created before
    any other thread, because it blocks the signals for all later threads.
*/
class signal_waiter {
 public:
  signal_waiter();
  ~signal_waiter();
  signal_waiter(const signal_waiter&) = delete;
  signal_waiter& operator=(const signal_waiter&) = delete;

  /** Runs `on_stop` at the first signal; the second ends the process. */
  void Start(std::function<void()> on_stop);

 private:
  std::thread thread_;
};

}  // namespace gentian

#endif  // GENTIAN_APP_SIGNAL_WAITER_H_
