#include "gentian_decisions/orphan_finder.h"

#include <algorithm>
#include <utility>

#include "gentian_decisions/replica_quorum.h"

namespace gentian {

namespace {

/** Members wait this long for each one that ranks before them. */
constexpr milliseconds kRankWait{2'000};

}  // namespace

std::size_t FindableReplicas(const cluster_view& cluster,
                             const shard_record& record) {
  const auto alive = std::count_if(
      record.replicas.begin(), record.replicas.end(),
      [&](const incarnation& replica) { return cluster.IsAlive(replica); });
  return static_cast<std::size_t>(alive);
}

milliseconds orphan_finder::ListInterval() const {
  constexpr milliseconds kShortest{30'000};
  // A listing has four records of about 200 bytes for each daemon; this keeps
  // it below 3 KB a second for each daemon, however large the fleet.
  constexpr milliseconds kPerDaemon{300};
  const auto daemons =
      static_cast<std::int64_t>(cluster_.settings().daemons.size());
  return std::max(kShortest, kPerDaemon * daemons);
}

bool orphan_finder::IsOrphan(const shard_record& record) const {
  // A claim of this daemon whose answer was lost still needs an adoption.
  const bool claimed_here = record.owner == cluster_.self() &&
                            record.phase == shard_record::state::adopting;
  return (claimed_here || !cluster_.IsAlive(record.owner)) &&
         FindableReplicas(cluster_, record) <
             FencesNeeded(record.replicas.size());
}

void orphan_finder::Tick(node_context& context) {
  for (auto at = shards_.begin(); at != shards_.end();) {
    at = IsOrphan(at->second.record) ? std::next(at) : shards_.erase(at);
  }
  const bool due = listed_as_ != cluster_.self() || context.now >= next_list_;
  if (calling_ || !due) {
    return;
  }
  listed_as_ = cluster_.self();
  next_list_ = context.now + ListInterval();
  calling_ = true;
  store_.Call(
      kv_list{"/shard/"}, kv_access::priority::ownership,
      [this](const kv_answer& answer, node_context& later) {
        calling_ = false;
        if (answer.outcome == kv_answer::status::ok) {
          Take(answer, later.now);
          return;
        }
        constexpr milliseconds kRetry{1'000};
        next_list_ = later.now + kRetry;
      },
      context);
}

void orphan_finder::Take(const kv_answer& answer, steady_time now) {
  std::map<shard_id, candidate> listed;
  const std::string prefix = "/shard/";
  for (const kv_entry& entry : answer.entries) {
    const auto parsed = ParseShardRecord(entry.value);
    if (Failed(parsed) || !IsOrphan(ValueOf(parsed))) {
      continue;
    }
    const shard_id shard(entry.key.substr(prefix.size()));
    const auto known = shards_.find(shard);
    const steady_time since =
        known == shards_.end() ? now : known->second.since;
    listed[shard] = candidate{ValueOf(parsed), since};
  }
  shards_ = std::move(listed);
}

std::vector<shard_id> orphan_finder::Due(steady_time now) const {
  std::vector<shard_id> due;
  for (const auto& [shard, state] : shards_) {
    if (IsDue(shard, now)) {
      due.push_back(shard);
    }
  }
  return due;
}

bool orphan_finder::IsDue(const shard_id& shard, steady_time now) const {
  const auto found = shards_.find(shard);
  if (found == shards_.end() || now < found->second.since + kPatience) {
    return false;
  }
  std::vector<host_id> hosts;
  for (const member& live : cluster_.LiveMembers()) {
    hosts.push_back(live.id.host);
  }
  const auto order = RendezvousOrder(shard.text(), hosts);
  const auto own = std::find(order.begin(), order.end(), cluster_.self().host);
  const auto rank = static_cast<std::int64_t>(own - order.begin());
  return now >= found->second.since + kPatience + kRankWait * rank;
}

std::optional<steady_time> orphan_finder::Since(const shard_id& shard) const {
  const auto found = shards_.find(shard);
  if (found == shards_.end()) {
    return std::nullopt;
  }
  return found->second.since;
}

}  // namespace gentian
