#include "gentian_decisions/replica_placement.h"

#include <algorithm>
#include <functional>

#include "gentian_decisions/replica_quorum.h"

namespace gentian {

namespace {

using member_list = std::vector<member>;

bool Contains(const std::vector<incarnation>& list, const incarnation& id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

member_list Candidates(const cluster_view& cluster,
                       const shard_id& shard,
                       const std::set<incarnation>& excluded,
                       const std::vector<incarnation>& kept) {
  member_list candidates;
  for (const member& entry : cluster.LiveMembers()) {
    const bool usable = entry.id.host != cluster.self().host &&
                        entry.id.epoch != 0 && !entry.draining;
    if (usable && excluded.count(entry.id) == 0) {
      candidates.push_back(entry);
    }
  }
  const std::uint64_t seed = StableHash(shard.text());
  const auto rank = [&](const member& entry) {
    return std::make_tuple(!Contains(kept, entry.id), !entry.has_data_folder,
                           StableHash(entry.id.host.text(), seed));
  };
  std::sort(
      candidates.begin(), candidates.end(),
      [&](const member& a, const member& b) { return rank(a) < rank(b); });
  return candidates;
}

}  // namespace

std::vector<incarnation> ChooseReplicas(const cluster_view& cluster,
                                        const shard_id& shard,
                                        const std::set<incarnation>& excluded,
                                        const std::vector<incarnation>& kept) {
  const auto self = cluster.FindMember(cluster.self().host);
  const failure_domain_id own =
      self ? self->failure_domain : failure_domain_id();
  const member_list candidates = Candidates(cluster, shard, excluded, kept);
  std::vector<incarnation> chosen;
  std::set<failure_domain_id> used;
  const auto pick = [&](std::size_t most,
                        const std::function<bool(const member&)>& fits) {
    for (const member& entry : candidates) {
      if (chosen.size() < most && !Contains(chosen, entry.id) && fits(entry)) {
        chosen.push_back(entry.id);
        used.insert(entry.failure_domain);
      }
    }
  };
  const auto is_new_domain = [&](const member& entry) {
    return used.count(entry.failure_domain) == 0;
  };
  pick(kReplicas - 1, [&](const member& entry) {
    return entry.failure_domain != own && is_new_domain(entry);
  });
  pick(kReplicas, [&](const member& entry) {
    return entry.failure_domain == own && is_new_domain(entry);
  });
  pick(kReplicas, is_new_domain);
  pick(kReplicas, [](const member& /*entry*/) { return true; });
  return chosen;
}

}  // namespace gentian
