#include "gentian_gateway/allowance_meter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace gentian {

namespace {

// Requests that each daemon's part of a burst is raised by, so that a team with
// a small burst is not refused for coming to one daemon twice. The users allow
// 20 requests beyond the allowance over all daemons, of which
// kMaxTotalExtraBurst are used.
constexpr double kMaxExtraBurstPerHolder = 2;
// Part of the burst that a daemon grants right after its start. Its predecessor
// may have granted the whole burst shortly before.
constexpr double kInitialBurstFraction = 0.4;

double BucketCapacity(const gateway_team& team, std::size_t parts) {
  const auto count = static_cast<double>(parts);
  return team.burst / count +
         std::min(kMaxExtraBurstPerHolder,
                  allowance_meter::kMaxTotalExtraBurst / count);
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
    own.tokens =
        1 + kInitialBurstFraction * team.burst / static_cast<double>(parts);
  } else {
    own.tokens += rate * ToSeconds(now - own.refilled_at);
  }
  own.refilled_at = now;
  own.tokens = std::min(own.tokens, BucketCapacity(team, parts));
  if (own.tokens >= 1) {
    own.tokens -= 1;
    return std::nullopt;
  }
  return milliseconds(static_cast<milliseconds::rep>(
      std::ceil(1000 * (1 - own.tokens) / rate)));
}

void allowance_meter::Refund(const gateway_team& team, std::size_t parts) {
  const auto found = buckets_.find(team.name);
  if (found != buckets_.end()) {
    found->second.tokens =
        std::min(found->second.tokens + 1, BucketCapacity(team, parts));
  }
}

}  // namespace gentian
