// Replaces replicas of owned shards, and removes shards that are not used.
#include <algorithm>

#include "gentian_decisions/replica_placement.h"
#include "gentian_decisions/replica_quorum.h"
#include "gentian_decisions/shard_manager.h"

namespace gentian {

namespace {

/** A replica change is abandoned if its copies are not complete by then. */
constexpr milliseconds kCopyDeadline{10'000};

}  // namespace

std::set<incarnation> shard_manager::Unusable(const shard_id& id,
                                              const owned_shard& shard,
                                              node_context& context) const {
  std::set<incarnation> unusable;
  for (const incarnation& replica : copies_.SilentReplicas(id, context.now)) {
    unusable.insert(replica);
  }
  for (const incarnation& replica : shard.record.replicas) {
    if (!cluster_.IsAlive(replica)) {
      unusable.insert(replica);
    }
  }
  return unusable;
}

void shard_manager::CheckReplicas(const shard_id& id,
                                  owned_shard& shard,
                                  node_context& context) {
  if (!shard.serving || shard.frozen) {
    return;
  }
  if (shard.next_replicas) {
    ContinueChange(id, shard, context);
    return;
  }
  const auto unusable = Unusable(id, shard, context);
  if (unusable.empty() && shard.record.replicas.size() >= kReplicas) {
    return;
  }
  auto next = ChooseReplicas(cluster_, id, unusable, shard.record.replicas);
  const auto& current = shard.record.replicas;
  const bool gains =
      std::any_of(next.begin(), next.end(), [&](const incarnation& replica) {
        return std::find(current.begin(), current.end(), replica) ==
               current.end();
      });
  // A set that is smaller or has no new replica would only lose copies.
  if (!gains || next.size() < current.size()) {
    return;
  }
  shard.next_replicas = next;
  shard.change_started = context.now;
  copies_.AddSet(id, next, context);
}

void shard_manager::ContinueChange(const shard_id& id,
                                   owned_shard& shard,
                                   node_context& context) {
  if (copies_.IsCopied(id, false)) {
    shard.wanted = shard.record;
    shard.wanted.replicas = *shard.next_replicas;
    Write(id, shard, write_kind::replica_change, context);
    return;
  }
  if (context.now >= shard.change_started + kCopyDeadline) {
    // The stored record still names the old set, so that it can be kept.
    copies_.KeepSet(id, false, context);
    shard.next_replicas.reset();
  }
}

void shard_manager::Remove(const shard_id& shard, node_context& context) {
  const auto found = shards_.find(shard);
  if (found == shards_.end() || found->second.next_replicas ||
      found->second.writing != write_kind::none) {
    return;
  }
  found->second.serving = false;
  Write(shard, found->second, write_kind::removal, context);
}

void shard_manager::Removed(const shard_id& id, node_context& context) {
  // Replicas keep the generations that they have promised, so that a former
  // owner that resumes cannot commit in the removed shard.
  NotifyReplaced(id, shards_[id].record, shard_record{}, context);
  shards_.erase(id);
  copies_.Stop(id);
  context.counters.Add("shards.removed");
}

}  // namespace gentian
