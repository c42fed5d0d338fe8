#ifndef GENTIAN_APP_PROCESS_SIGNALS_H_
#define GENTIAN_APP_PROCESS_SIGNALS_H_

#include <functional>
#include <memory>
#include <utility>

#include "gentian_net/gentian_net.h"

namespace gentian {

/** Takes SIGTERM, SIGINT and SIGHUP from their default actions, until the
    process has ended, and ignores SIGPIPE and SIGXFSZ: a write then fails with
    an error. A signal that comes is held until a signal_watch takes it.

    Runs before main, and again in main. */
void HoldSignals();

/** Gives the signals back their default actions, and takes those that came. For
    commands without a signal_watch. */
void ReleaseSignals();

/** True if SIGTERM or SIGINT came and no signal_watch has taken it. */
bool IsStopHeld();

/** Takes signals that were or will be held. One object at a time. */
class signal_watch {
 public:
  /** @param on_signal  runs on a thread of the pool, never concurrently with
                        itself; signals of one kind that come before it runs
                        count as one */
  signal_watch(io_pool& pool, std::function<void(int number)> on_signal);
  /** Signals that come from now on are held. */
  ~signal_watch();
  signal_watch(const signal_watch&) = delete;
  signal_watch& operator=(const signal_watch&) = delete;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/** Stops a process that a person may have started in a terminal: at the first
    signal in order, and at a SIGINT after that at once. */
class terminal_stop {
 public:
  explicit terminal_stop(std::function<void()> on_stop)
      : on_stop_(std::move(on_stop)) {}

  void OnSignal(int number);

 private:
  std::function<void()> on_stop_;
  bool stopping_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_APP_PROCESS_SIGNALS_H_
