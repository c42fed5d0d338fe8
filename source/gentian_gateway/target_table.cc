#include "gentian_gateway/target_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

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
  return changed;
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
  return found == known_.end() || found->second.IsLeaving() ? nullptr
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
  for (const auto& [id, target] : known_) {
    if (target.record.service == service && !target.IsLeaving()) {
      serving.push_back(&target);
    }
  }
  return serving;
}

bool target_table::HasTarget(const std::string& service) const {
  return std::any_of(known_.begin(), known_.end(), [&](const auto& entry) {
    return entry.second.record.service == service && !entry.second.IsLeaving();
  });
}

known_target* target_table::FindMutable(const std::string& id) {
  const auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second;
}

void target_table::RequestStarted(const std::string& id) {
  if (known_target* target = FindMutable(id)) {
    ++target->open_requests;
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
  if (known_target* target = FindMutable(id)) {
    target->load = load;
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
