#include "gentian_decisions/target_load_tracker.h"

#include <algorithm>
#include <utility>

namespace gentian {

void target_load_tracker::Occupy(const call_key& key, slot_holder holder) {
  Free(key, holder.assigned);
  target_record& target = targets_[holder.target];
  target.changes.push_back(change{holder.assigned, 1});
  holders_[key] = holder.target;
  target.holders[key] = std::move(holder);
}

std::optional<slot_holder> target_load_tracker::Free(const call_key& key,
                                                     steady_time now) {
  const auto found = holders_.find(key);
  if (found == holders_.end()) {
    return std::nullopt;
  }
  target_record& target = targets_[found->second];
  const auto held = target.holders.find(key);
  slot_holder holder = std::move(held->second);
  target.holders.erase(held);
  holders_.erase(found);
  target.changes.push_back(change{now, -1});
  while (!target.changes.empty() &&
         now - target.changes.front().time > kReportLifetime) {
    target.changes.pop_front();
  }
  return holder;
}

slot_holder* target_load_tracker::Find(const call_key& key) {
  const auto found = holders_.find(key);
  return found == holders_.end() ? nullptr
                                 : &targets_[found->second].holders.at(key);
}

void target_load_tracker::ApplyReport(const target_load& load,
                                      steady_time now) {
  const steady_time measured = now - load.age;
  target_record& target = targets_[load.target];
  if (target.measured && *target.measured > measured) {
    return;
  }
  target.measured = measured;
  target.reported = load.running + load.queued;
  while (!target.changes.empty() && target.changes.front().time <= measured) {
    target.changes.pop_front();
  }
}

std::size_t target_load_tracker::InFlight(const target_id& target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? 0 : found->second.holders.size();
}

double target_load_tracker::Load(const target_id& target,
                                 steady_time now) const {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return 0;
  }
  const target_record& record = found->second;
  const auto own = static_cast<double>(record.holders.size());
  if (!record.measured || now - *record.measured > kReportLifetime) {
    return own;
  }
  double estimate = record.reported;
  for (const change& each : record.changes) {
    estimate += each.difference;
  }
  return std::max(estimate, own);
}

double target_load_tracker::PendingPrefill(const target_id& target,
                                           double tokens_per_ms,
                                           steady_time now) const {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return 0;
  }
  // Assumes that an engine prefills one prompt at a time, in order of arrival.
  std::vector<std::pair<steady_time, double>> prompts;
  for (const auto& [key, holder] : found->second.holders) {
    prompts.emplace_back(holder.assigned, holder.uncached_tokens);
  }
  std::sort(prompts.begin(), prompts.end());
  double ready_ms = -1e12;  // relative to now, negative in the past
  for (const auto& [assigned, tokens] : prompts) {
    const double arrived = -1'000 * ToSeconds(now - assigned);
    ready_ms = std::max(ready_ms, arrived) + tokens / tokens_per_ms;
  }
  return std::max(ready_ms, 0.0) * tokens_per_ms;
}

void target_load_tracker::CountByTeam(
    std::map<team_id, std::size_t>& counts) const {
  for (const auto& [id, target] : targets_) {
    for (const auto& [key, holder] : target.holders) {
      ++counts[holder.item.team];
    }
  }
}

std::vector<call_key> target_load_tracker::CallsOwnedBy(
    const incarnation& owner) const {
  std::vector<call_key> held;
  for (const auto& [key, target] : holders_) {
    if (key.owner == owner) {
      held.push_back(key);
    }
  }
  return held;
}

std::vector<call_key> target_load_tracker::CallsNotRefreshedSince(
    steady_time limit) const {
  std::vector<call_key> stale;
  for (const auto& [id, target] : targets_) {
    for (const auto& [key, holder] : target.holders) {
      if (holder.refreshed < limit) {
        stale.push_back(key);
      }
    }
  }
  return stale;
}

}  // namespace gentian
