#ifndef TESTS_SOAK_SIGNAL_SERIES_H_
#define TESTS_SOAK_SIGNAL_SERIES_H_

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "process_instance.h"

namespace gentian::soak {

/** Signals for one process, at intervals by a seed. */
struct signal_plan {
  /** Each time one of them. */
  std::vector<int> numbers;
  /** Time for which the process has run on a processor before the first one. */
  std::chrono::nanoseconds first{0};
  std::chrono::microseconds max_gap{0};
  milliseconds length{0};
};

/** Sends signals to a process until it has ended or their time is over, on a
    thread of its own. */
class signal_series {
 public:
  signal_series(std::shared_ptr<process_instance> subject,
                signal_plan plan,
                std::uint64_t seed);
  ~signal_series();
  signal_series(const signal_series&) = delete;
  signal_series& operator=(const signal_series&) = delete;

 private:
  void Run();

  const std::shared_ptr<process_instance> subject_;
  const signal_plan plan_;
  seeded_random random_;
  std::atomic<bool> is_stopped_{false};
  std::thread thread_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_SIGNAL_SERIES_H_
