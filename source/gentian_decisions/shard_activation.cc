// Completes an adoption: copies the sessions to new replicas and activates the
// record of the shard.
#include <set>
#include <utility>

#include "gentian_decisions/replica_placement.h"
#include "gentian_decisions/shard_adopter.h"

namespace gentian {

void shard_adopter::StartCopying(const shard_id& shard,
                                 adoption_state& state,
                                 node_context& context) {
  std::set<incarnation> silent;
  for (const incarnation& replica :
       copies_.SilentReplicas(shard, context.now)) {
    silent.insert(replica);
  }
  state.at = stage::copying;
  state.stage_started = context.now;
  state.record.replicas = ChooseReplicas(cluster_, shard, silent, {});
  std::vector<session_id> ids;
  for (const session* adopted : sessions_.InShard(shard)) {
    ids.push_back(adopted->id());
  }
  copies_.Start(shard, state.record.generation, state.record.replicas, ids,
                context);
}

void shard_adopter::Activate(const shard_id& shard,
                             adoption_state& state,
                             node_context& context) {
  state.at = stage::activating;
  state.record.phase = shard_record::state::active;
  state.calling = true;
  state.asked = context.now;
  kv_compare_and_swap write;
  write.key = ShardKey(shard);
  write.expected_version = state.version;
  write.value = json(state.record).dump();
  store_.Call(
      std::move(write), kv_access::priority::ownership,
      [this, shard](const kv_answer& answer, node_context& later) {
        const auto found = adoptions_.find(shard);
        if (found == adoptions_.end()) {
          return;
        }
        found->second.calling = false;
        if (answer.outcome == kv_answer::status::ok &&
            !answer.entries.empty()) {
          CompleteAdoption(shard, answer.entries.front().version, later);
        }
      },
      context);
}

void shard_adopter::CheckActivation(const shard_id& shard,
                                    node_context& context) {
  adoption_state& state = adoptions_[shard];
  state.calling = true;
  state.asked = context.now;
  store_.Call(
      kv_get{ShardKey(shard)}, kv_access::priority::ownership,
      [this, shard](const kv_answer& answer, node_context& later) {
        const auto found = adoptions_.find(shard);
        if (found == adoptions_.end()) {
          return;
        }
        adoption_state& waiting = found->second;
        waiting.calling = false;
        if (answer.outcome != kv_answer::status::ok || answer.entries.empty()) {
          return;
        }
        const kv_entry& entry = answer.entries.front();
        const auto parsed = ParseShardRecord(entry.value);
        const bool ours =
            !Failed(parsed) && ValueOf(parsed).owner == waiting.record.owner &&
            ValueOf(parsed).generation == waiting.record.generation;
        if (!ours) {
          Abandon(shard);
        } else if (ValueOf(parsed).phase == shard_record::state::active) {
          CompleteAdoption(shard, entry.version, later);
        } else {
          Activate(shard, waiting, later);
        }
      },
      context);
}

void shard_adopter::CompleteAdoption(const shard_id& shard,
                                     std::uint64_t version,
                                     node_context& context) {
  const shard_record record = adoptions_[shard].record;
  const shard_record before = adoptions_[shard].collected->record();
  adoptions_.erase(shard);
  watches_.erase(shard);
  orphans_.Drop(shard);
  held_.DropCopies(shard);
  shards_.TakeOver(shard, record, version);
  copies_.AnnounceCopied(shard, context);
  NotifyReplaced(shard, before, record, context);
  context.counters.Add("shards.adopted");
  listener_.ShardAdopted(shard, record, context);
}

void shard_adopter::Abandon(const shard_id& shard) {
  adoptions_.erase(shard);
  copies_.Stop(shard);
  sessions_.EraseShard(shard);
}

}  // namespace gentian
