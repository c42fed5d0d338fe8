#include "gentian_gateway/configuration_holder.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

// Fraction of the withdrawal bound during which a confirmed configuration
// counts as fresh. The rest covers the time that a request takes to reach a
// target.
constexpr double kFreshFraction = 0.85;

}  // namespace

configuration_holder::configuration_holder(milliseconds withdrawal_bound)
    : max_age_(static_cast<milliseconds::rep>(
          kFreshFraction * static_cast<double>(withdrawal_bound.count()))) {}

bool configuration_holder::Confirm(shared_configuration reading,
                                   steady_time asked_at) {
  const bool newer = !current_ || reading->version() > current_->version();
  if (!newer && reading->version() < current_->version()) {
    // A reading that arrives after a newer one confirms nothing.
    return false;
  }
  if (newer) {
    current_ = std::move(reading);
  }
  ConfirmUnchanged(asked_at);
  return newer;
}

void configuration_holder::ConfirmUnchanged(steady_time asked_at) {
  confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, asked_at) : asked_at;
}

bool configuration_holder::IsFresh(steady_time now) const {
  return current_ && confirmed_at_ && now - *confirmed_at_ < max_age_;
}

std::optional<milliseconds> configuration_holder::Age(steady_time now) const {
  if (!confirmed_at_) {
    return std::nullopt;
  }
  return ToMilliseconds(now - *confirmed_at_);
}

}  // namespace gentian
