#include "gentian_decisions/share_bucket.h"

#include <algorithm>

namespace gentian {

double share_bucket::FractionHeld() const {
  double fraction = own_fraction_;
  for (const auto& [host, share] : delegated_) {
    fraction += share.fraction;
  }
  // The sum can exceed 1 by rounding, or if a delegator still uses a smaller
  // fleet size during a configuration change.
  return std::min(fraction, 1.0);
}

void share_bucket::ClampLevel(double burst) {
  const double room =
      burst * FractionHeld() - static_cast<double>(outstanding_);
  level_ = std::clamp(level_, 0.0, std::max(room, 0.0));
}

void share_bucket::Refill(double rate, double burst, steady_time until) {
  if (filled_until_ && until > *filled_until_) {
    level_ += rate * FractionHeld() * ToSeconds(until - *filled_until_);
  }
  if (!filled_until_ || until > *filled_until_) {
    filled_until_ = until;
  }
  ClampLevel(burst);
}

void share_bucket::Advance(double rate, double burst, steady_time now) {
  for (;;) {
    auto first = delegated_.end();
    for (auto it = delegated_.begin(); it != delegated_.end(); ++it) {
      const bool expired = it->second.expiry <= now;
      if (expired && (first == delegated_.end() ||
                      it->second.expiry < first->second.expiry)) {
        first = it;
      }
    }
    if (first == delegated_.end()) {
      break;
    }
    Refill(rate, burst, first->second.expiry);
    delegated_.erase(first);
    ClampLevel(burst);
  }
  Refill(rate, burst, now);
  // Batches expire after the refill. Otherwise a late call would refill the
  // room that they occupied for part of the elapsed time.
  for (auto it = issued_.begin(); it != issued_.end();) {
    if (it->second.issued + kBatchLifetime <= now) {
      outstanding_ -= it->second.tokens;
      it = issued_.erase(it);
    } else {
      ++it;
    }
  }
}

void share_bucket::AddDelegated(const host_id& from,
                                double fraction,
                                steady_time expiry) {
  delegated_share& share = delegated_[from];
  share.fraction = fraction;
  share.expiry = std::max(share.expiry, expiry);
}

void share_bucket::RemoveDelegated(const host_id& from) {
  delegated_.erase(from);
}

void share_bucket::AddTokens(double tokens, double burst) {
  level_ += tokens;
  ClampLevel(burst);
}

double share_bucket::TakeTokens(double most) {
  const double taken = std::clamp(most, 0.0, level_);
  level_ -= taken;
  return taken;
}

bool share_bucket::TakeOne() {
  if (level_ < 1.0) {
    return false;
  }
  level_ -= 1.0;
  return true;
}

std::uint32_t share_bucket::Issue(std::uint64_t batch,
                                  std::uint32_t wanted,
                                  steady_time now) {
  const auto available = static_cast<std::uint32_t>(std::max(level_, 0.0));
  const std::uint32_t tokens = std::min(wanted, available);
  if (tokens > 0) {
    level_ -= tokens;
    issued_[batch] = issued_batch{tokens, now};
    outstanding_ += tokens;
  }
  return tokens;
}

void share_bucket::Settle(std::uint64_t batch,
                          std::uint32_t unused,
                          double burst) {
  const auto found = issued_.find(batch);
  if (found == issued_.end()) {
    return;
  }
  const std::uint32_t tokens = found->second.tokens;
  outstanding_ -= tokens;
  issued_.erase(found);
  AddTokens(std::min(unused, tokens), burst);
}

}  // namespace gentian
