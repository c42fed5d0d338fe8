#include "gentian_decisions/fair_queue.h"

#include <algorithm>
#include <utility>

namespace gentian {

double fair_queue::RankOf(const queued_call& call) const {
  const auto found = attained_.find(call.item.root_session);
  const double tokens = found == attained_.end() ? 0 : found->second.tokens;
  return tokens + kAgingTokensPerSecond *
                      ToSeconds(call.waiting_since.time_since_epoch());
}

void fair_queue::AddToOrder(const call_key& key) {
  entry& added = calls_.at(key);
  const queued_call& call = added.call;
  added.rank_value = RankOf(call);
  team_queue& team = teams_[call.item.team];
  team.priority_classes[call.item.priority].emplace(added.rank_value,
                                                    call.waiting_since, key);
  team.by_age.emplace(call.waiting_since, key);
}

void fair_queue::RemoveFromOrder(const call_key& key) {
  const entry& removed = calls_.at(key);
  const queued_call& call = removed.call;
  team_queue& team = teams_[call.item.team];
  const auto level = team.priority_classes.find(call.item.priority);
  level->second.erase(rank{removed.rank_value, call.waiting_since, key});
  if (level->second.empty()) {
    team.priority_classes.erase(level);
  }
  team.by_age.erase(age{call.waiting_since, key});
}

void fair_queue::Add(queued_call call) {
  const call_key key = call.key;
  const session_id root = call.item.root_session;
  team_queue& team = teams_[call.item.team];
  if (team.by_age.empty()) {
    // A team accumulates no credit while it has no waiting calls.
    team.virtual_start = std::max(team.virtual_start, virtual_time_);
  }
  calls_.emplace(key, entry{std::move(call), 0});
  AddToOrder(key);
  if (!root.empty()) {
    attained_[root].waiting.insert(key);
  }
}

queued_call* fair_queue::Find(const call_key& key) {
  const auto found = calls_.find(key);
  return found == calls_.end() ? nullptr : &found->second.call;
}

void fair_queue::Remove(const call_key& key) {
  const auto found = calls_.find(key);
  if (found == calls_.end()) {
    return;
  }
  RemoveFromOrder(key);
  const auto root = attained_.find(found->second.call.item.root_session);
  if (root != attained_.end()) {
    root->second.waiting.erase(key);
  }
  calls_.erase(found);
}

std::vector<const queued_call*> fair_queue::NextCalls(const team_queue& team,
                                                      std::size_t count,
                                                      milliseconds max_wait,
                                                      steady_time now) const {
  std::vector<const queued_call*> head;
  for (const auto& [since, key] : team.by_age) {
    if (now - since < max_wait || head.size() >= count) {
      break;
    }
    head.push_back(&calls_.at(key).call);
  }
  for (const auto& [priority, ranks] : team.priority_classes) {
    for (const rank& each : ranks) {
      if (head.size() >= count) {
        return head;
      }
      const queued_call& call = calls_.at(std::get<call_key>(each)).call;
      if (now - call.waiting_since < max_wait) {
        head.push_back(&call);
      }
    }
  }
  return head;
}

void fair_queue::Visit(
    std::size_t per_team,
    milliseconds max_wait,
    steady_time now,
    const std::function<bool(const queued_call&)>& visit) const {
  std::vector<std::pair<double, const team_queue*>> order;
  for (const auto& [id, team] : teams_) {
    if (!team.by_age.empty()) {
      order.emplace_back(team.virtual_start, &team);
    }
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [start, team] : order) {
    for (const queued_call* call : NextCalls(*team, per_team, max_wait, now)) {
      if (!visit(*call)) {
        return;
      }
    }
  }
}

queued_call fair_queue::Dequeue(const call_key& key,
                                double weight,
                                double tokens,
                                steady_time now) {
  queued_call call = calls_.at(key).call;
  team_queue& team = teams_[call.item.team];
  virtual_time_ = std::max(virtual_time_, team.virtual_start);
  team.virtual_start += tokens / std::max(weight, 0.001);
  Remove(key);
  AddAttainedService(call.item.root_session, tokens, now);
  return call;
}

void fair_queue::AdjustCharge(const work_item& item,
                              double weight,
                              double tokens,
                              steady_time now) {
  teams_[item.team].virtual_start += tokens / std::max(weight, 0.001);
  AddAttainedService(item.root_session, tokens, now);
}

void fair_queue::AddAttainedService(const session_id& root,
                                    double tokens,
                                    steady_time now) {
  if (root.empty()) {
    return;
  }
  attained_service& service = attained_[root];
  const std::set<call_key> waiting = service.waiting;
  for (const call_key& key : waiting) {
    RemoveFromOrder(key);
  }
  service.tokens += tokens;
  service.last_served = now;
  for (const call_key& key : waiting) {
    AddToOrder(key);
  }
}

void fair_queue::CountByTeam(std::map<team_id, std::size_t>& counts) const {
  for (const auto& [id, team] : teams_) {
    if (!team.by_age.empty()) {
      counts[id] += team.by_age.size();
    }
  }
}

void fair_queue::DropStale(steady_time limit) {
  std::vector<call_key> stale;
  for (const auto& [key, each] : calls_) {
    if (each.call.last_refreshed < limit) {
      stale.push_back(key);
    }
  }
  for (const call_key& key : stale) {
    Remove(key);
  }
}

void fair_queue::ExpireAttainedService(steady_time now) {
  for (auto it = attained_.begin(); it != attained_.end();) {
    const bool old = it->second.waiting.empty() &&
                     now - it->second.last_served > kAttainedRetention;
    it = old ? attained_.erase(it) : std::next(it);
  }
}

}  // namespace gentian
