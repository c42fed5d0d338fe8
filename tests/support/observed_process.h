#ifndef TESTS_SUPPORT_OBSERVED_PROCESS_H_
#define TESTS_SUPPORT_OBSERVED_PROCESS_H_

#include <sys/file.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "support/child_process.h"

namespace gentian::testing {

/** Held by one test of this machine at a time, since a measured process is
    disturbed by other load and the runner starts tests in parallel. */
class exclusive_load {
 public:
  exclusive_load()
      : file_(::open(
            (std::filesystem::temp_directory_path() / "gentian_exclusive_load")
                .c_str(),
            O_CREAT | O_RDWR | O_CLOEXEC,
            0600)) {
    ::flock(file_, LOCK_EX);
  }
  ~exclusive_load() { ::close(file_); }
  exclusive_load(const exclusive_load&) = delete;
  exclusive_load& operator=(const exclusive_load&) = delete;

 private:
  int file_;
};

/** A process whose memory and descriptors are watched. */
class observed_process : public child_process {
 public:
  using child_process::child_process;

  /** Most resident memory since its start, in bytes; 0 once it has ended. */
  std::size_t PeakMemory() const {
    constexpr std::size_t kKilobyte = 1024;
    std::ifstream file("/proc/" + std::to_string(id()) + "/status");
    std::string word;
    while (file >> word) {
      if (word == "VmHWM:") {
        std::size_t kilobytes = 0;
        file >> kilobytes;
        return kilobytes * kKilobyte;
      }
    }
    return 0;
  }

  /** Counts its open descriptors. */
  void Observe() {
    std::error_code failure;
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(id()) + "/fd", failure);
    if (!failure) {
      most_descriptors_ =
          std::max(most_descriptors_, static_cast<std::size_t>(std::distance(
                                          begin(entries), end(entries))));
    }
  }

  /** Observes it until it takes neither more memory nor more descriptors, which
      it does while it still reads what has come. */
  void ObserveUntilSteady() {
    constexpr std::chrono::milliseconds kInterval{50};
    constexpr int kSteadyRounds = 20;
    constexpr int kMostRounds = 200;
    int steady = 0;
    for (int i = 0; i < kMostRounds && steady < kSteadyRounds; ++i) {
      const std::size_t memory = PeakMemory();
      const std::size_t descriptors = most_descriptors_;
      std::this_thread::sleep_for(kInterval);
      Observe();
      const bool is_steady =
          PeakMemory() == memory && most_descriptors_ == descriptors;
      steady = is_steady ? steady + 1 : 0;
    }
  }

  /** Most descriptors that were counted. */
  std::size_t most_descriptors() const { return most_descriptors_; }

 private:
  std::size_t most_descriptors_ = 0;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_OBSERVED_PROCESS_H_
