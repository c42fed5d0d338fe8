#ifndef TESTS_SOAK_LATE_CALLERS_H_
#define TESTS_SOAK_LATE_CALLERS_H_

#include <string>
#include <thread>
#include <vector>

#include "judge.h"

namespace gentian::soak {

/** Callers that are connected to a gateway when it is asked to stop, and send
    the last byte of their requests at any time until it must have ended. */
class late_callers {
 public:
  /** Connects and begins to send. */
  late_callers(const std::string& gateway,
               const std::string& name,
               std::uint64_t seed,
               judge& seen);
  /** Waits for all answers. */
  ~late_callers();
  late_callers(const late_callers&) = delete;
  late_callers& operator=(const late_callers&) = delete;

 private:
  std::vector<std::thread> threads_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_LATE_CALLERS_H_
