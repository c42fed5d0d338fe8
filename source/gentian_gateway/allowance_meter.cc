#include "gentian_gateway/allowance_meter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace gentian {

namespace {

// Requests that each daemon's part of a burst is raised by, so that a team with
// a small burst is not refused for coming to one daemon twice. The users allow
// 20 requests beyond the allowance over all daemons, of which kExtraInAll are
// used.
constexpr double kExtraDepth = 2;
// Part of the burst that a daemon grants right after its start. Its predecessor
// may have granted the whole burst shortly before.
constexpr double kStartPart = 0.4;

double DepthOf(const gateway_team& team, std::size_t parts) {
  const auto count = static_cast<double>(parts);
  return team.burst / count +
         std::min(kExtraDepth, allowance_meter::kExtraInAll / count);
}

}  // namespace

std::optional<milliseconds> allowance_meter::Take(const gateway_team& team,
                                                  std::size_t parts,
                                                  steady_time now) {
  assert(parts > 0);
  if (team.rate <= 0) {
    return std::nullopt;
  }
  const double rate = team.rate / static_cast<double>(parts);
  const auto [place, is_new] = buckets_.try_emplace(team.name);
  bucket& own = place->second;
  if (is_new) {
    own.level = 1 + kStartPart * team.burst / static_cast<double>(parts);
  } else {
    own.level += rate * ToSeconds(now - own.filled_at);
  }
  own.filled_at = now;
  own.level = std::min(own.level, DepthOf(team, parts));
  if (own.level >= 1) {
    own.level -= 1;
    return std::nullopt;
  }
  return milliseconds(
      static_cast<milliseconds::rep>(std::ceil(1000 * (1 - own.level) / rate)));
}

void allowance_meter::Return(const gateway_team& team, std::size_t parts) {
  const auto found = buckets_.find(team.name);
  if (found != buckets_.end()) {
    found->second.level =
        std::min(found->second.level + 1, DepthOf(team, parts));
  }
}

}  // namespace gentian
