#include "gentian_turns/turn_store_directory.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace gentian {

namespace {

bool HasSamePlacement(const turn_store_directory::records& a,
                      const turn_store_directory::records& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](const auto& first, const auto& second) {
                      return first.first == second.first &&
                             first.second.incarnation ==
                                 second.second.incarnation;
                    });
}

}  // namespace

bool turn_store_directory::Update(records running, records disks) {
  records accepting;
  std::size_t vanished = 0;
  for (const auto& [host, record] : accepting_) {
    vanished += running.count(host) == 0 ? 1 : 0;
  }
  if (vanished > running.size()) {
    // Most leases expired at once, in an outage of the key-value service. The
    // stores keep their place until they have registered again.
    for (const auto& [host, record] : accepting_) {
      if (disks.count(host) > 0) {
        running.insert({host, record});
      }
    }
  }
  for (const auto& [host, record] : running) {
    if (!record.draining) {
      accepting.insert({host, record});
    }
  }
  // The record of a running store is newer than that of its disk.
  known_ = running;
  known_.merge(disks);
  const bool changed = !loaded_ || !HasSamePlacement(accepting, accepting_);
  accepting_ = std::move(accepting);
  loaded_ = true;
  return changed;
}

std::vector<std::string> turn_store_directory::Placement(
    const std::string& conversation) const {
  const std::uint64_t seed = StableHash(conversation);
  std::vector<std::pair<std::uint64_t, const turn_store_record*>> ranked;
  ranked.reserve(accepting_.size());
  for (const auto& [host, record] : accepting_) {
    ranked.emplace_back(StableHash(host, seed), &record);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> order;
  std::vector<std::string> later;
  std::set<std::string> domains;
  for (const auto& [score, record] : ranked) {
    const bool new_domain = domains.insert(record->failure_domain).second;
    (new_domain ? order : later).push_back(record->host);
  }
  order.insert(order.end(), later.begin(), later.end());
  return order;
}

std::vector<std::string> turn_store_directory::ReadOrder(
    const std::string& conversation,
    std::size_t copies,
    const std::string& failure_domain) const {
  std::vector<std::string> order = Placement(conversation);
  const auto preferred_end =
      order.begin() +
      static_cast<std::ptrdiff_t>(std::min(copies, order.size()));
  std::stable_partition(
      order.begin(), preferred_end, [&](const std::string& host) {
        return known_.at(host).failure_domain == failure_domain;
      });
  for (const auto& [host, record] : known_) {
    if (accepting_.count(host) == 0) {
      order.push_back(host);
    }
  }
  return order;
}

bool turn_store_directory::IsPlacedAt(
    const std::string& host,
    const std::string& conversation,
    std::size_t copies,
    const std::function<bool(const turn_store_record&)>& may_hold) const {
  std::vector<std::string> order = Placement(conversation);
  if (may_hold) {
    order.erase(std::remove_if(order.begin(), order.end(),
                               [&](const std::string& store) {
                                 return !may_hold(accepting_.at(store));
                               }),
                order.end());
  }
  const auto end = order.begin() +
                   static_cast<std::ptrdiff_t>(std::min(copies, order.size()));
  return std::find(order.begin(), end, host) != end;
}

}  // namespace gentian
