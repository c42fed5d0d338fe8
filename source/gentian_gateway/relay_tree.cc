#include "gentian_gateway/relay_tree.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "gentian_core/gentian_core.h"

namespace gentian {

namespace {

// The members in an order that changes little when one comes or leaves. The
// first ones are in different failure domains.
std::vector<std::string> OrderOf(
    const std::map<std::string, member_record>& members) {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  for (const auto& [key, member] : members) {
    if (!member.stopping) {
      ranked.emplace_back(StableHash(key), &key);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> order;
  std::vector<std::string> later;
  std::set<std::string> domains;
  for (const auto& [score, key] : ranked) {
    const bool first = order.size() < relay_tree::kReaders &&
                       domains.insert(members.at(*key).failure_domain).second;
    (first ? order : later).push_back(*key);
  }
  order.insert(order.end(), later.begin(), later.end());
  return order;
}

// Position of the gateway that the one at a position follows. Each tier of the
// tree spreads its followers evenly. Precondition: the position is no reader's.
std::size_t ParentOf(std::size_t position) {
  std::size_t tier = 0;
  std::size_t size = relay_tree::kReaders;
  while (position >= tier + size + size * relay_tree::kMaxFollowers) {
    tier += size;
    size *= relay_tree::kMaxFollowers;
  }
  return tier + (position - tier - size) % size;
}

}  // namespace

void relay_tree::Update(const std::map<std::string, member_record>& members,
                        const std::string& self) {
  const std::vector<std::string> order = OrderOf(members);
  const auto found = std::find(order.begin(), order.end(), self);
  const auto position = static_cast<std::size_t>(found - order.begin());
  const std::size_t readers = std::min(kReaders, order.size());
  is_reader_ = position < readers || readers == 0;
  sources_.clear();
  if (!is_reader_ && found != order.end()) {
    sources_.push_back(order[ParentOf(position)]);
  }
  // Followers of a lost gateway are spread over the readers.
  const std::size_t start = readers == 0 ? 0 : StableHash(self) % readers;
  for (std::size_t i = 0; i < readers; ++i) {
    const std::string& reader = order[(start + i) % readers];
    if (reader != self &&
        std::find(sources_.begin(), sources_.end(), reader) == sources_.end()) {
      sources_.push_back(reader);
    }
  }
}

}  // namespace gentian
