#ifndef TESTS_SOAK_PROCESS_INSTANCE_H_
#define TESTS_SOAK_PROCESS_INSTANCE_H_

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian::soak {

/** Limits of the system for one process; none where there is no value. */
struct process_limits {
  /** In bytes. */
  std::optional<std::size_t> file_size;
  /** In bytes. */
  std::optional<std::size_t> address_space;
  std::optional<std::size_t> descriptors;
};

/** How a process is started. */
struct process_launch {
  std::string binary;
  std::string role;
  std::string settings_path;
  /** Its output is appended to this file. */
  std::string log_path;
  process_limits limits;
};

/** One process of the product, from its start to its end. Thread-safe. It is
    killed when the object or the thread that made it ends. */
class process_instance {
 public:
  /** Returns when the program runs. */
  explicit process_instance(const process_launch& launch);
  ~process_instance();
  process_instance(const process_instance&) = delete;
  process_instance& operator=(const process_instance&) = delete;

  void Signal(int number);
  void Kill();
  bool IsRunning();
  bool IsAskedToStop();
  /** Resident memory in bytes; 0 if it does not run. */
  std::size_t ResidentMemory();
  /** Time for which the program has run on processors. */
  std::chrono::nanoseconds RunTime();
  /** How it ended, unless it was killed or stopped as it was asked to. Returned
      once. */
  std::optional<std::string> TakeFailure();

 private:
  void Poll();
  void OnEnd(int state);
  std::chrono::nanoseconds ProcessorTime() const;

  std::mutex mutex_;
  const steady_time started_at_;
  pid_t id_ = 0;
  /** Time on processors when the program replaced the child's. */
  std::chrono::nanoseconds loaded_at_{0};
  bool is_asked_to_stop_ = false;
  std::optional<std::string> failure_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_PROCESS_INSTANCE_H_
