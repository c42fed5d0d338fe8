#include "gentian_gateway/target_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "gentian_gateway/expected_completion.h"

namespace gentian {

namespace {

// Silence beyond which the key-value service counts as having been
// unavailable. Entries last for three heartbeats of a target, so some may have
// expired.
constexpr milliseconds kOutageThreshold{2'500};
// Targets register again within about two seconds after the key-value service
// recovers. A target that left during the outage must not be sent work for
// longer than two seconds.
constexpr milliseconds kReregistrationGrace{1'900};
// Longest time for which callers wait for a stream and its continuation. Their
// deadlines are a few seconds.
constexpr milliseconds kMaxStreamAge{12'000};
constexpr milliseconds kInitialAvoidance{200};
constexpr milliseconds kMaxAvoidance{2'000};
constexpr int kMaxDoublings = 4;
constexpr double kSameLimitTolerance = 0.1;
// Interval between calculations of what the targets of a service have in
// common. Each takes about 0.2 ms for 12,000 targets.
constexpr milliseconds kDeriveInterval{1'000};
// Share of one request in the average size.
constexpr double kUnitsSmoothing = 0.02;

bool IsSameLimit(const std::optional<double>& before,
                 const std::optional<double>& after) {
  if (!before || !after) {
    return before.has_value() == after.has_value();
  }
  return std::abs(*after - *before) <= kSameLimitTolerance * *before;
}

}  // namespace

std::optional<double> known_target::RateLimit(steady_time now) const {
  const std::optional<double> cold_rate = cold.Rate(now);
  if (!NamesLimit()) {
    return cold_rate;
  }
  return std::min(*limit->rate, cold_rate.value_or(*limit->rate));
}

std::vector<std::string> target_table::Update(
    std::vector<target_record> listing,
    steady_time asked_at) {
  return Update(std::move(listing), asked_at, asked_at);
}

std::vector<std::string> target_table::Update(
    std::vector<target_record> listing,
    steady_time asked_at,
    steady_time read_at) {
  std::vector<std::string> changed;
  cold_changes_ = cold_news();
  OnServiceHeard(asked_at);
  const bool was_silent = longest_silence_ > kOutageThreshold;
  longest_silence_ = duration(0);
  if (!last_listing_ || asked_at - *last_listing_ > kOutageThreshold) {
    observed_since_ = asked_at;
  }
  for (const target_record& record : listing) {
    versions_[record.service][record.version] = asked_at;
  }
  if (last_listing_ && asked_at - *last_listing_ > kOutageThreshold &&
      was_silent) {
    outage_ended_ = asked_at;
    for (auto& [id, target] : known_) {
      target.listed_since_outage = false;
    }
  }
  last_listing_ = asked_at;
  const bool may_return =
      outage_ended_ && asked_at - *outage_ended_ < kReregistrationGrace;
  std::map<std::string, target_record> listed;
  for (target_record& record : listing) {
    listed.emplace(record.id, std::move(record));
  }
  for (auto next = known_.begin(); next != known_.end();) {
    const bool present = listed.count(next->first) > 0;
    const known_target& target = next->second;
    if (present || (may_return && !target.listed_since_outage &&
                    !target.record.draining)) {
      ++next;
    } else {
      changed.push_back(next->first);
      next = known_.erase(next);
    }
  }
  for (auto& [id, record] : listed) {
    const auto [place, is_new] = known_.try_emplace(id);
    known_target& target = place->second;
    const bool restarted =
        !is_new && target.record.started_at_ms != record.started_at_ms;
    if (is_new || restarted || target.record.draining != record.draining) {
      changed.push_back(id);
    }
    if (restarted) {
      target.load.reset();
      target.sent_since_report = 0;
      target.performance = target_performance();
      target.limit.reset();
      target.cold = cold_period();
      target.no_room_until = steady_time();
      target.failures = 0;
      target.avoid_until = steady_time();
      target.has_said_leaving = false;
    }
    const bool is_new_version =
        is_new || restarted ||
        target.record.entry_version != record.entry_version;
    target.record = std::move(record);
    target.listed_since_outage = true;
    if (is_new_version) {
      LearnColdTime(target, read_at);
    }
  }
  IndexServices(asked_at);
  return changed;
}

void target_table::IndexServices(steady_time now) {
  for (auto& [name, service] : services_) {
    service.targets.clear();
  }
  for (const auto& [id, target] : known_) {
    services_[target.record.service].targets.push_back(&target);
  }
  for (auto next = services_.begin(); next != services_.end();) {
    if (next->second.targets.empty()) {
      next = services_.erase(next);
    } else {
      Derive(next->second, now);
      ++next;
    }
  }
}

void target_table::Derive(service_targets& service, steady_time now) {
  service.derived_at = now;
  service_performance& common = service.performance;
  common.reports_pace =
      std::any_of(service.targets.begin(), service.targets.end(),
                  [](const known_target* target) {
                    return target->load && target->load->pace;
                  });
  if (!common.reports_pace) {
    return;
  }
  std::vector<duration> times;
  double requests = 0;
  double slots = 0;
  for (const known_target* target : service.targets) {
    if (target->performance.IsLearned()) {
      times.push_back(target->performance.UnitTime(duration(0)));
    }
    if (target->load) {
      requests += target->performance.UsualRequests(target->load->running +
                                                    target->load->waiting);
      slots += std::max(1, target->record.slots);
    }
  }
  common.requests_per_slot = slots > 0 ? requests / slots : 0;
  if (!times.empty()) {
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    common.median_unit_time = *middle;
  }
  common.greatest_capacity = 0;
  for (const known_target* target : service.targets) {
    common.greatest_capacity =
        std::max(common.greatest_capacity, CapacityOf(*target, common));
  }
}

const service_targets* target_table::FindService(
    const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

// A listing is applied again while it doesn't change. A record that is known
// already must not begin its cold time anew.
void target_table::LearnColdTime(known_target& target, steady_time read_at) {
  target.cold.SetLimit(ColdLimitFor(target.record.service));
  const bool was_cold = target.cold.IsCold(read_at);
  if (!target.cold.OnRecord(target.record.cold_left, read_at)) {
    cold_changes_.malformed.push_back(target.record.id);
  }
  if (!was_cold && target.cold.IsCold(read_at)) {
    cold_changes_.turned_cold.push_back(target.record.id);
  }
}

cold_limit target_table::ColdLimitFor(const std::string& service) const {
  const auto found = cold_limits_.find(service);
  return found == cold_limits_.end() ? cold_limit() : found->second;
}

void target_table::SetColdLimits(std::map<std::string, cold_limit> limits) {
  cold_limits_ = std::move(limits);
  for (auto& [id, target] : known_) {
    target.cold.SetLimit(ColdLimitFor(target.record.service));
  }
}

bool target_table::ReportCold(const std::string& id,
                              milliseconds left,
                              steady_time now) {
  known_target* target = FindMutable(id);
  if (target == nullptr) {
    return false;
  }
  const bool was_cold = target->cold.IsCold(now);
  target->cold.OnAnswer(left, now);
  return !was_cold && target->cold.IsCold(now);
}

std::vector<std::string> target_table::ColdTargets(steady_time now) const {
  std::vector<std::string> cold;
  for (const auto& [id, target] : known_) {
    if (target.cold.Rate(now)) {
      cold.push_back(id);
    }
  }
  return cold;
}

void target_table::OnServiceHeard(steady_time asked_at) {
  if (last_heard_) {
    longest_silence_ = std::max(longest_silence_, asked_at - *last_heard_);
  }
  last_heard_ = last_heard_ ? std::max(*last_heard_, asked_at) : asked_at;
}

std::optional<std::string> target_table::OnlyVersion(const std::string& service,
                                                     steady_time now) const {
  const auto found = versions_.find(service);
  if (!observed_since_ || now - *observed_since_ < kMaxStreamAge ||
      now - *last_listing_ > kOutageThreshold || found == versions_.end()) {
    return std::nullopt;
  }
  std::optional<std::string> only;
  for (const auto& [version, listed_at] : found->second) {
    if (now - listed_at > kMaxStreamAge) {
      continue;
    }
    if (only || version.empty()) {
      return std::nullopt;
    }
    only = version;
  }
  return only;
}

const known_target* target_table::Find(const std::string& id) const {
  const auto found = known_.find(id);
  return found == known_.end() || !TakesRequests(found->second)
             ? nullptr
             : &found->second;
}

const known_target* target_table::FindListed(const std::string& id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second;
}

std::vector<const known_target*> target_table::All() const {
  std::vector<const known_target*> all;
  all.reserve(known_.size());
  for (const auto& [id, target] : known_) {
    all.push_back(&target);
  }
  return all;
}

std::vector<const known_target*> target_table::Serving(
    const std::string& service) const {
  std::vector<const known_target*> serving;
  if (const service_targets* found = FindService(service)) {
    std::copy_if(
        found->targets.begin(), found->targets.end(),
        std::back_inserter(serving),
        [this](const known_target* target) { return TakesRequests(*target); });
  }
  return serving;
}

bool target_table::HasTarget(const std::string& service) const {
  const service_targets* found = FindService(service);
  return found != nullptr &&
         std::any_of(found->targets.begin(), found->targets.end(),
                     [this](const known_target* target) {
                       return TakesRequests(*target);
                     });
}

bool target_table::TakesRequests(const known_target& target) const {
  return !target.IsLeaving() &&
         !evacuations_.Contains(target.record.failure_domain);
}

bool target_table::IsEvacuated(const std::string& id) const {
  const known_target* target = FindListed(id);
  return target != nullptr &&
         evacuations_.Contains(target->record.failure_domain);
}

bool target_table::HasDomain(const std::string& failure_domain) const {
  return std::any_of(known_.begin(), known_.end(), [&](const auto& entry) {
    return entry.second.record.failure_domain == failure_domain;
  });
}

known_target* target_table::FindMutable(const std::string& id) {
  const auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second;
}

void target_table::RequestStarted(const std::string& id) {
  if (known_target* target = FindMutable(id)) {
    ++target->open_requests;
    ++target->sent_since_report;
  }
}

void target_table::RequestEnded(const std::string& id) {
  known_target* target = FindMutable(id);
  // An entry that was removed and added again no longer counts earlier
  // requests.
  if (target != nullptr && target->open_requests > 0) {
    --target->open_requests;
  }
}

void target_table::ReportLoad(const std::string& id, reported_load load) {
  known_target* target = FindMutable(id);
  // Reports that other daemons pass on may come late.
  if (target == nullptr ||
      (load.pace && target->load && load.at < target->load->at)) {
    return;
  }
  target->load = load;
  target->sent_since_report = 0;
  if (load.pace) {
    target->performance.AddRequests(load.running + load.waiting);
    service_targets& service = services_[target->record.service];
    if (!service.performance.reports_pace ||
        load.at - service.derived_at > kDeriveInterval) {
      Derive(service, load.at);
    }
  }
}

void target_table::ReportWork(const std::string& id,
                              const work_sample& sample,
                              steady_time now) {
  known_target* target = FindMutable(id);
  if (target == nullptr || !target->load || !target->load->pace ||
      sample.units <= 0 || sample.taken.count() <= 0) {
    return;
  }
  service_targets& service = services_[target->record.service];
  double& usual_units = service.performance.units_per_request;
  usual_units =
      usual_units == 0
          ? sample.units
          : usual_units + kUnitsSmoothing * (sample.units - usual_units);
  // As many requests as now were probably ahead of this one when it came.
  const double slots = std::max(1, target->record.slots);
  const double waited =
      sample.includes_wait ? 1 + target->load->waiting / slots : 1;
  const double pace = MeanPace(*target->load->pace, duration(0), sample.taken);
  target->performance.AddUnitTime(
      FromSeconds(ToSeconds(sample.taken) / (sample.units * waited * pace)));
  if (now - service.derived_at > kDeriveInterval) {
    Derive(service, now);
  }
}

bool target_table::LearnLimit(const std::string& id,
                              const target_limit& limit) {
  known_target* target = FindMutable(id);
  if (target == nullptr || (target->limit && limit.at < target->limit->at)) {
    return false;
  }
  const std::optional<double> before =
      target->limit ? target->limit->rate : std::nullopt;
  target->limit = limit;
  return !IsSameLimit(before, limit.rate);
}

std::optional<target_limit> target_table::Limit(const std::string& id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? std::nullopt : found->second.limit;
}

std::vector<std::string> target_table::LimitedTargets() const {
  std::vector<std::string> limited;
  for (const auto& [id, target] : known_) {
    if (target.NamesLimit()) {
      limited.push_back(id);
    }
  }
  return limited;
}

void target_table::ReportNoRoom(const std::string& id, steady_time until) {
  if (known_target* target = FindMutable(id)) {
    target->no_room_until = until;
  }
}

void target_table::ReportFailure(const std::string& id, steady_time now) {
  known_target* target = FindMutable(id);
  if (target == nullptr) {
    return;
  }
  const int doublings = std::min(target->failures, kMaxDoublings);
  ++target->failures;
  target->avoid_until =
      now + std::min(kMaxAvoidance, kInitialAvoidance * (1 << doublings));
}

bool target_table::HasAnsweredAfter(const std::string& id,
                                    std::uint64_t started_at_ms,
                                    steady_time time) const {
  const auto found = known_.find(id);
  return found != known_.end() &&
         found->second.record.started_at_ms == started_at_ms &&
         found->second.answered_at > time;
}

void target_table::ReportSuccess(const std::string& id, steady_time now) {
  if (known_target* target = FindMutable(id)) {
    target->failures = 0;
    target->answered_at = now;
    target->avoid_until = steady_time();
  }
}

void target_table::ForgetFailures() {
  for (auto& [id, target] : known_) {
    target.failures = 0;
    if (target.avoid_until != steady_time::max()) {
      target.avoid_until = steady_time();
    }
  }
}

bool target_table::ReportLeaving(const std::string& id) {
  known_target* target = FindMutable(id);
  return target != nullptr && !std::exchange(target->has_said_leaving, true);
}

void target_table::ReportReplaced(const std::string& id) {
  if (known_target* target = FindMutable(id)) {
    target->avoid_until = steady_time::max();
  }
}

}  // namespace gentian
