#ifndef GENTIAN_GATEWAY_PLANNED_STOP_H_
#define GENTIAN_GATEWAY_PLANNED_STOP_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Decides which requests may still be sent to a target before a planned stop
    ends: those whose answers can be expected by then. What was sent once can't
    be taken back. */
class planned_stop {
 public:
  /** Records how long a target took for a request of a route. */
  void OnAnswered(const std::string& route, milliseconds length);

  /** The process is to end.

      @param grace  time until its forced end */
  void Begin(steady_time now, milliseconds grace);

  bool HasBegun() const { return ends_at_.has_value(); }

  /** When callers must have all answers. Precondition: HasBegun. */
  steady_time ends_at() const { return *ends_at_; }

  /** True if a request may be sent to a target.

      @param time_left     until its caller must have an answer
      @param may_run_again  it can be repeated elsewhere if it is cut off */
  bool MaySend(const std::string& route,
               milliseconds time_left,
               bool may_run_again,
               steady_time now) const;

 private:
  static constexpr std::size_t kKept = 64;

  struct series {
    std::array<milliseconds, kKept> lengths{};
    std::size_t count = 0;
  };

  /** The longest of the last requests of a route; nothing without any. */
  std::optional<milliseconds> Longest(const std::string& route) const;

  std::map<std::string, series> routes_;
  std::optional<steady_time> ends_at_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_PLANNED_STOP_H_
