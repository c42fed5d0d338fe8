#include "gentian_gateway/configuration_holder.h"

#include <algorithm>
#include <utility>

#include "gentian_gateway/fraction_of.h"

namespace gentian {

namespace {

// Fraction of a bound during which a confirmed configuration counts as fresh.
// The rest covers the time that a request takes to reach a
// target.
constexpr double kFreshFraction = 0.85;

// Fraction of the bound of changes by which the service was heard later than
// the configuration. Listings are confirmed one after the other.
constexpr double kBehindFraction = 0.5;

}  // namespace

configuration_holder::configuration_holder(milliseconds withdrawal_bound,
                                           milliseconds change_bound)
    : max_age_(ToMilliseconds(FractionOf(kFreshFraction, withdrawal_bound))),
      change_bound_(change_bound) {}

bool configuration_holder::Confirm(shared_configuration reading,
                                   steady_time asked_at,
                                   duration uncertain) {
  const bool newer = !current_ || reading->version() > current_->version();
  if (!newer && reading->version() < current_->version()) {
    // A reading that arrives after a newer one confirms nothing.
    return false;
  }
  if (newer) {
    current_ = std::move(reading);
  }
  ConfirmUnchanged(asked_at, uncertain);
  return newer;
}

void configuration_holder::ConfirmUnchanged(steady_time asked_at,
                                            duration uncertain) {
  confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, asked_at) : asked_at;
  proven_at_ = std::max(proven_at_, asked_at - uncertain);
}

void configuration_holder::OnServiceHeard(steady_time asked_at) {
  heard_at_ = std::max(heard_at_, asked_at);
}

bool configuration_holder::IsBehind(steady_time now) const {
  return confirmed_at_ &&
         now - *confirmed_at_ > FractionOf(kFreshFraction, change_bound_) &&
         heard_at_ - *confirmed_at_ >
             FractionOf(kBehindFraction, change_bound_);
}

bool configuration_holder::IsFresh(steady_time now) const {
  return current_ && confirmed_at_ && now - proven_at_ < max_age_;
}

std::optional<milliseconds> configuration_holder::Age(steady_time now) const {
  if (!confirmed_at_) {
    return std::nullopt;
  }
  return ToMilliseconds(now - *confirmed_at_);
}

}  // namespace gentian
