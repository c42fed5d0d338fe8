#include "gentian_gateway/gateway_members.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gentian {

namespace {

// Time for which a daemon keeps its share of the allowances after its record
// has disappeared. It serves for up to 4.5 s without the key-value service.
constexpr milliseconds kGrantRetention{5'000};
// Gap between listings beyond which the key-value service counts as having been
// unavailable. Listings are requested every 1.5 s.
constexpr milliseconds kOutageThreshold{2'500};

}  // namespace

bool gateway_members::Update(std::map<std::string, member_record> listed,
                             steady_time asked_at) {
  const duration gap = last_listing_ ? asked_at - *last_listing_ : duration(0);
  last_listing_ = asked_at;
  std::map<std::string, member_record> vanished;
  for (auto next = last_seen_.begin(); next != last_seen_.end();) {
    if (gap > kOutageThreshold) {
      next->second += gap;
    }
    const bool is_listed = listed.count(next->first) > 0;
    if (!is_listed && asked_at - next->second >= kGrantRetention) {
      next = last_seen_.erase(next);
      continue;
    }
    const auto before = members_.find(next->first);
    if (!is_listed && before != members_.end()) {
      vanished.insert(*before);
    }
    ++next;
  }
  for (const auto& [key, member] : listed) {
    last_seen_[key] = asked_at;
    listed_at_[key] = asked_at;
  }
  if (vanished.size() > listed.size()) {
    listed.merge(vanished);
  }
  const bool same = listed.size() == members_.size() &&
                    std::equal(listed.begin(), listed.end(), members_.begin(),
                               [](const auto& a, const auto& b) {
                                 return a.first == b.first &&
                                        a.second.stopping == b.second.stopping;
                               });
  members_ = std::move(listed);
  for (auto next = listed_at_.begin(); next != listed_at_.end();) {
    next = members_.count(next->first) > 0 ? std::next(next)
                                           : listed_at_.erase(next);
  }
  return !same;
}

bool gateway_members::WasListed(const std::string& key,
                                steady_time since) const {
  const auto found = listed_at_.find(key);
  return found != listed_at_.end() && found->second >= since;
}

std::vector<std::string> gateway_members::PossibleGranters() const {
  std::vector<std::string> keys = {self_};
  for (const auto& [key, seen_at] : last_seen_) {
    if (key != self_) {
      keys.push_back(key);
    }
  }
  return keys;
}

}  // namespace gentian
