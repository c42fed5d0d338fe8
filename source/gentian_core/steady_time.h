#ifndef GENTIAN_CORE_STEADY_TIME_H_
#define GENTIAN_CORE_STEADY_TIME_H_

#include <chrono>

namespace gentian {

/** A point on one process's monotonic clock. Values from different processes
    can't be compared. State machines receive it as a parameter and never read a
    clock.
*/
using steady_time = std::chrono::steady_clock::time_point;

/** A length of time. */
using duration = std::chrono::steady_clock::duration;

/** Whole milliseconds, for messages and logs. */
using milliseconds = std::chrono::milliseconds;

/** Converts a duration to whole milliseconds, rounding towards zero. */
constexpr milliseconds ToMilliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

/** Converts a duration to seconds as a floating-point number. */
constexpr double ToSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

/** Converts seconds to a duration. */
constexpr duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace gentian

#endif  // GENTIAN_CORE_STEADY_TIME_H_
