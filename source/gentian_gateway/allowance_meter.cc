#include "gentian_gateway/allowance_meter.h"

#include <algorithm>
#include <cmath>

namespace gentian {

namespace {

// Requests that each daemon's part of a burst is raised by, so that a team with
// a small burst is not refused for coming to one daemon twice. The users allow
// 20 requests beyond the allowance over all daemons.
constexpr double kExtraDepth = 2;
constexpr double kExtraInAll = 14;
// Part of the burst that a daemon grants right after its start. Its predecessor
// may have granted the whole burst shortly before.
constexpr double kStartPart = 0.4;

}  // namespace

double allowance_meter::Depth(const gateway_team& team) const {
  const auto count = static_cast<double>(members_);
  return team.burst / count + std::min(kExtraDepth, kExtraInAll / count);
}

std::optional<milliseconds> allowance_meter::Take(const gateway_team& team,
                                                  steady_time now) {
  if (team.rate <= 0) {
    return std::nullopt;
  }
  const double rate = team.rate / static_cast<double>(members_);
  const auto [place, is_new] = buckets_.try_emplace(team.name);
  bucket& own = place->second;
  if (is_new) {
    own.level = 1 + kStartPart * team.burst / static_cast<double>(members_);
  } else {
    own.level += rate * ToSeconds(now - own.filled_at);
  }
  own.filled_at = now;
  own.level = std::min(own.level, Depth(team));
  if (own.level >= 1) {
    own.level -= 1;
    return std::nullopt;
  }
  return milliseconds(
      static_cast<milliseconds::rep>(std::ceil(1000 * (1 - own.level) / rate)));
}

void allowance_meter::Return(const gateway_team& team) {
  const auto found = buckets_.find(team.name);
  if (found != buckets_.end()) {
    found->second.level = std::min(found->second.level + 1, Depth(team));
  }
}

}  // namespace gentian
