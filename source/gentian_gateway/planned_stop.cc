#include "gentian_gateway/planned_stop.h"

#include <algorithm>

namespace gentian {

namespace {

// Time to write the last answers, and to deregister, before the forced end.
constexpr milliseconds kMargin{500};
constexpr int kMarginShare = 4;
// Routes are renamed and removed.
constexpr std::size_t kMaxRoutes = 1'024;
// How much longer than the longest of the last requests the next one may take.
constexpr int kAllowanceIfRepeatable = 2;
constexpr int kAllowanceIfOnce = 4;

}  // namespace

void planned_stop::OnAnswered(const std::string& route, milliseconds length) {
  if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0) {
    routes_.clear();
  }
  series& own = routes_[route];
  own.lengths[own.count++ % kKept] = length;
}

void planned_stop::Begin(steady_time now, milliseconds grace) {
  ends_at_ = now + grace - std::min(kMargin, grace / kMarginShare);
}

std::optional<milliseconds> planned_stop::Longest(
    const std::string& route) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) {
    return std::nullopt;
  }
  const auto& lengths = found->second.lengths;
  const auto end = lengths.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(found->second.count, kKept));
  return *std::max_element(lengths.begin(), end);
}

// A request that has its answer at its own deadline, at the latest, ends in
// time, whatever its target does. Where callers wait for longer than a stop
// takes, the route's last requests tell.
bool planned_stop::MaySend(const std::string& route,
                           milliseconds time_left,
                           bool may_run_again,
                           steady_time now) const {
  if (!ends_at_ || now + time_left <= *ends_at_) {
    return true;
  }
  const std::optional<milliseconds> longest = Longest(route);
  const int allowance =
      may_run_again ? kAllowanceIfRepeatable : kAllowanceIfOnce;
  return longest && now + allowance * *longest <= *ends_at_;
}

}  // namespace gentian
