#include "gentian_gateway/allowance_meter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace gentian {

namespace {

// Extra burst of each holder, in requests, so that a team with a small burst is
// not refused for sending two requests to one daemon. The users accept 20
// requests beyond the allowance over all daemons; kMaxTotalExtraBurst of them
// are used here.
constexpr double kMaxExtraBurstPerHolder = 2;
// Fraction of its burst that a daemon has available right after its start. The
// previous daemon on the host may have granted the whole burst shortly before.
constexpr double kInitialBurstFraction = 0.4;

double BucketCapacity(const gateway_team& team, std::size_t holder_count) {
  const auto count = static_cast<double>(holder_count);
  return team.burst / count +
         std::min(kMaxExtraBurstPerHolder,
                  allowance_meter::kMaxTotalExtraBurst / count);
}

}  // namespace

std::optional<milliseconds> allowance_meter::Take(const gateway_team& team,
                                                  std::size_t holder_count,
                                                  steady_time now) {
  const reservation taken = Reserve(team, holder_count, milliseconds(0), now);
  return taken.made ? std::nullopt : std::optional(taken.wait);
}

allowance_meter::reservation allowance_meter::Reserve(const gateway_team& team,
                                                      std::size_t holder_count,
                                                      milliseconds max_wait,
                                                      steady_time now) {
  assert(holder_count > 0);
  if (team.rate <= 0) {
    return {true, milliseconds(0)};
  }
  const double rate = team.rate / static_cast<double>(holder_count);
  const auto [place, is_new] = buckets_.try_emplace(team.name);
  bucket& team_bucket = place->second;
  if (is_new) {
    team_bucket.tokens = 1 + kInitialBurstFraction * team.burst /
                                 static_cast<double>(holder_count);
  } else {
    team_bucket.tokens += rate * ToSeconds(now - team_bucket.refilled_at);
  }
  team_bucket.refilled_at = now;
  team_bucket.tokens =
      std::min(team_bucket.tokens, BucketCapacity(team, holder_count));
  milliseconds wait{0};
  if (team_bucket.tokens < 1) {
    wait = milliseconds(static_cast<milliseconds::rep>(
        std::ceil(1000 * (1 - team_bucket.tokens) / rate)));
  }
  if (wait > max_wait) {
    return {false, wait};
  }
  // Below zero, the tokens of the next refills are taken already.
  team_bucket.tokens -= 1;
  return {true, wait};
}

void allowance_meter::Refund(const gateway_team& team,
                             std::size_t holder_count) {
  const auto found = buckets_.find(team.name);
  if (found != buckets_.end()) {
    found->second.tokens =
        std::min(found->second.tokens + 1, BucketCapacity(team, holder_count));
  }
}

}  // namespace gentian
