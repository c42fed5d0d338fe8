#include "gentian_gateway/domain_router.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace gentian {

namespace {

// Fraction of the capacity of the own domain above which requests leave. Slots
// of single targets are all taken before those of the domain are.
constexpr double kLeaveAbove = 0.8;
// Fraction of the capacity of another domain that it may be filled to. It is
// below kLeaveAbove, so that a domain that receives requests sends none away.
constexpr double kFillUpTo = 0.75;
// The same while the own domain holds nearly twice its capacity.
constexpr double kFillMost = 0.85;
// Time constants of the shares. A rise has to wait for reports that contain the
// requests sent by it; faster ones overfill the receiving domain when many
// gateways send there.
constexpr milliseconds kRiseTime{1'000};
constexpr milliseconds kFallTime{500};
// Time constant of the requests per second.
constexpr milliseconds kRateTime{2'000};
// The weight of a report falls to 0 over this time.
constexpr milliseconds kMaxLoadAge{5'000};
// Share of the requests of a busy domain that goes to a domain without reports,
// to get some.
constexpr double kTrialShare = 0.05;
// Trials begin at this fraction of the load from which requests leave.
constexpr double kTrialAbove = 0.85;
// Shares below this one are 0.
constexpr double kMinShare = 0.002;
// Least demand of a gateway, so that one without requests plans no large share:
// per second, and in seconds.
constexpr double kMinRate = 0.1;
constexpr double kMinTime = 0.001;
// Waits of this number of usual times justify leaving although the shares don't
// provide for it; of the greater number if all domains are full, since requests
// that leave in both directions win nothing.
constexpr double kUnplannedWaits = 0.5;
constexpr double kUnplannedWaitsIfFull = 2;
// Used while no time of a request is known.
constexpr milliseconds kDefaultRequestTime{200};

double Gain(duration elapsed, milliseconds constant) {
  return 1 - std::exp(-ToSeconds(elapsed) / ToSeconds(constant));
}

double WeightOf(const std::optional<duration>& age) {
  return age ? std::clamp(1 - ToSeconds(*age) / ToSeconds(kMaxLoadAge), 0.0,
                          1.0)
             : 0.0;
}

}  // namespace

// The largest share that may go to another domain. If all gateways send the
// spare capacity's worth of requests more than now, the domain is filled to
// the given fraction.
double domain_router::MaxShareOf(const std::string& domain,
                                 const domain_load& other,
                                 double fill) const {
  if (other.capacity <= 0) {
    return 0;
  }
  const double share = ShareOf(domain);
  const double weight = WeightOf(other.age);
  if (weight <= 0) {
    return std::max(share, kTrialShare);
  }
  if (!rate_) {
    return share;
  }
  const double limit = fill * other.capacity;
  if (other.load >= limit) {
    return share * limit / other.load;
  }
  // Slots that all requests of this gateway take up.
  const double demand = std::max({*rate_, last_rate_, kMinRate}) *
                        std::max(ToSeconds(request_time_), kMinTime);
  return std::min(1.0, share + weight * (limit - other.load) /
                                   (static_cast<double>(std::max<std::size_t>(
                                        1, other.gateways)) *
                                    demand));
}

domain_router::plan domain_router::PlanFor(
    const std::map<std::string, domain_load>& loads) const {
  plan wanted;
  const auto own = loads.find(own_domain_);
  const bool is_lost = own == loads.end() || own->second.capacity <= 0;
  double leaving = 1;
  double fill = kFillMost;
  if (!is_lost) {
    if (WeightOf(own->second.age) <= 0 || request_time_ <= duration(0)) {
      return wanted;
    }
    const double limit =
        own->second.capacity *
        (kLeaveAbove + ToSeconds(price_) / ToSeconds(request_time_));
    if (own->second.load <= kTrialAbove * limit) {
      wanted.reason = cause::own_has_room;
      return wanted;
    }
    leaving = std::max(0.0, 1 - limit / own->second.load);
    fill = std::clamp(own->second.load / own->second.capacity - 1, kFillUpTo,
                      kFillMost);
  }
  double sum = 0;
  for (const auto& [domain, other] : loads) {
    if (domain != own_domain_) {
      const double share = MaxShareOf(domain, other, fill);
      wanted.shares[domain] = share;
      sum += share;
    }
  }
  if (is_lost && sum <= 0) {
    for (auto& [domain, share] : wanted.shares) {
      share = loads.at(domain).capacity;
      sum += share;
    }
  }
  if (leaving <= 0) {
    for (auto& [domain, share] : wanted.shares) {
      share = WeightOf(loads.at(domain).age) <= 0 ? kTrialShare : 0;
    }
    wanted.reason = cause::own_has_room;
    return wanted;
  }
  wanted.reason = is_lost            ? cause::own_is_lost
                  : sum >= kMinShare ? cause::own_is_busy
                                     : cause::all_are_full;
  const double total = is_lost ? 1 : std::min(leaving, sum);
  for (auto& [domain, share] : wanted.shares) {
    share = sum > 0 ? share * total / sum : 0;
  }
  return wanted;
}

void domain_router::MoveTowards(const plan& wanted, steady_time now) {
  const duration elapsed = now - updated_at_.value_or(now);
  for (const auto& [domain, share] : wanted.shares) {
    shares_.try_emplace(domain, 0.0);
  }
  for (auto next = shares_.begin(); next != shares_.end();) {
    const auto found = wanted.shares.find(next->first);
    const double goal = found == wanted.shares.end() ? 0.0 : found->second;
    double& share = next->second;
    // Without a target in the own domain, there is nothing to smooth.
    share =
        wanted.reason == cause::own_is_lost
            ? goal
            : share + (goal - share) *
                          Gain(elapsed, goal > share ? kRiseTime : kFallTime);
    if (share < kMinShare && goal <= share) {
      credits_.erase(next->first);
      next = shares_.erase(next);
    } else {
      ++next;
    }
  }
}

void domain_router::Update(const std::map<std::string, domain_load>& loads,
                           duration request_time,
                           steady_time now) {
  request_time_ = request_time;
  if (updated_at_ && now > *updated_at_) {
    const duration elapsed = now - *updated_at_;
    last_rate_ = requests_ / ToSeconds(elapsed);
    rate_ = rate_ ? *rate_ + (last_rate_ - *rate_) * Gain(elapsed, kRateTime)
                  : last_rate_;
    requests_ = 0;
  }
  const plan wanted = PlanFor(loads);
  MoveTowards(wanted, now);
  reason_ = wanted.reason;
  updated_at_ = now;
}

double domain_router::ShareOf(const std::string& domain) const {
  if (domain == own_domain_) {
    return 1 - LeavingShare();
  }
  const auto found = shares_.find(domain);
  return found == shares_.end() ? 0.0 : found->second;
}

double domain_router::LeavingShare() const {
  double sum = 0;
  for (const auto& [domain, share] : shares_) {
    sum += share;
  }
  return std::min(1.0, sum);
}

domain_charges domain_router::NextCharges() {
  ++requests_;
  domain_charges charges;
  charges.own_domain = own_domain_;
  charges.price = price_;
  charges.request_time = request_time_;
  const duration usual =
      request_time_ > duration(0) ? request_time_ : kDefaultRequestTime;
  charges.unplanned =
      price_ + FromSeconds(ToSeconds(usual) * (reason_ == cause::all_are_full
                                                   ? kUnplannedWaitsIfFull
                                                   : kUnplannedWaits));
  double most = 1;
  for (const auto& [domain, share] : shares_) {
    // The first requests of the gateways leave at different times.
    constexpr double kSteps = 1'024;
    const auto [credit, is_new] = credits_.try_emplace(
        domain,
        std::fmod(static_cast<double>(StableHash(domain, seed_)), kSteps) /
            kSteps);
    credit->second += share;
    if (credit->second >= most) {
      most = credit->second;
      charges.destination = domain;
    }
  }
  if (!charges.destination.empty()) {
    credits_[charges.destination] -= 1;
  }
  return charges;
}

const char* NameOf(domain_router::cause reason) {
  static constexpr std::array<const char*, 5> kNames = {
      "no_news", "own_has_room", "own_is_busy", "all_are_full", "own_is_lost"};
  return kNames.at(static_cast<std::size_t>(reason));
}

}  // namespace gentian
