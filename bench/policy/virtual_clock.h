#ifndef GENTIAN_BENCH_VIRTUAL_CLOCK_H_
#define GENTIAN_BENCH_VIRTUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian::bench {

/** Virtual time: runs actions in the order of their times. */
class virtual_clock {
 public:
  using action = std::function<void()>;

  /** The current time in milliseconds since the start. */
  double now_ms() const { return now_ms_; }

  /** The current time as state machines see it. */
  steady_time now() const {
    return steady_time(std::chrono::hours(1)) + FromSeconds(now_ms_ / 1'000);
  }

  /** Runs an action after a delay. */
  void After(double delay_ms, action next) {
    events_.push(entry{now_ms_ + delay_ms, ++order_, std::move(next)});
  }

  /** Runs the next action.
      @returns  false if none is left before `end_ms` */
  bool Step(double end_ms) {
    if (events_.empty() || events_.top().due_ms > end_ms) {
      return false;
    }
    const entry next = events_.top();
    events_.pop();
    now_ms_ = next.due_ms;
    next.run();
    return true;
  }

 private:
  struct entry {
    double due_ms = 0;
    std::uint64_t order = 0;
    action run;
    bool operator<(const entry& other) const {
      return std::tie(due_ms, order) > std::tie(other.due_ms, other.order);
    }
  };

  double now_ms_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<entry> events_;
};

}  // namespace gentian::bench

#endif  // GENTIAN_BENCH_VIRTUAL_CLOCK_H_
