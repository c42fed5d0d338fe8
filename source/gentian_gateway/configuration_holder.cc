#include "gentian_gateway/configuration_holder.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

// Part of the withdrawal bound during which a confirmed configuration is
// relied upon. The rest covers the time that a request takes to a target.
constexpr double kTrustedPart = 0.85;

}  // namespace

configuration_holder::configuration_holder(milliseconds withdrawal_bound)
    : trusted_for_(static_cast<milliseconds::rep>(
          kTrustedPart * static_cast<double>(withdrawal_bound.count()))) {}

bool configuration_holder::Confirm(shared_configuration reading,
                                   steady_time asked_at) {
  const bool newer = !current_ || reading->version() > current_->version();
  if (!newer && reading->version() < current_->version()) {
    // An answer that was overtaken by a later one confirms nothing.
    return false;
  }
  if (newer) {
    current_ = std::move(reading);
  }
  ConfirmUnchanged(asked_at);
  return newer;
}

void configuration_holder::ConfirmUnchanged(steady_time asked_at) {
  confirmed_ = confirmed_ ? std::max(*confirmed_, asked_at) : asked_at;
}

bool configuration_holder::IsFresh(steady_time now) const {
  return current_ && confirmed_ && now - *confirmed_ < trusted_for_;
}

std::optional<milliseconds> configuration_holder::Age(steady_time now) const {
  if (!confirmed_) {
    return std::nullopt;
  }
  return ToMilliseconds(now - *confirmed_);
}

}  // namespace gentian
