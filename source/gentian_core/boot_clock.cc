#include "gentian_core/boot_clock.h"

#include <ctime>

namespace gentian {

steady_time BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return steady_time(std::chrono::seconds(now.tv_sec) +
                     std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace gentian
