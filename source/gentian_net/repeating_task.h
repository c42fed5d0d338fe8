#ifndef GENTIAN_NET_REPEATING_TASK_H_
#define GENTIAN_NET_REPEATING_TASK_H_

#include <functional>
#include <memory>

#include "gentian_core/steady_time.h"

namespace gentian {

class io_pool;

/** Runs a step on an io_pool again and again. The next run is armed whatever
    becomes of a step: when it throws, or when a handler that it has passed on
    throws or is dropped.
*/
class repeating_task {
 public:
  /** One run of the step and of what it has started. A step that does not end
      by itself passes copies on to its handlers. When the last copy is gone and
      nothing was decided, the step runs again after the retry delay. */
  class round {
   public:
    /** Arms the next run. Only the first decision of a round counts. */
    void RunAgainAfter(duration delay) const;
    /** Ends the task until it is started again. */
    void End() const;

   private:
    friend class repeating_task;
    struct state;
    explicit round(std::shared_ptr<state> shared);
    std::shared_ptr<state> state_;
  };

  using step = std::function<void(const round& current)>;

  /** @param retry_delay  time until the next run where a round decides none
      @param action       runs on a thread of the pool, and in Start() */
  repeating_task(io_pool& pool, duration retry_delay, step action);
  /** Drops the next run. A step must not be running on another thread, unless
      it keeps what it uses alive. */
  ~repeating_task();
  repeating_task(const repeating_task&) = delete;
  repeating_task& operator=(const repeating_task&) = delete;

  /** Runs the step at once, on this thread. Precondition: the task does not
      run. */
  void Start();

  /** Arms the first run. Precondition: the task does not run. */
  void StartAfter(duration delay);

  /** Begins a round whose work is that of the caller. Precondition: the task
      does not run. */
  round Begin();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_NET_REPEATING_TASK_H_
