#include "gentian_decisions/shard_manager.h"

#include <algorithm>
#include <utility>

#include "gentian_decisions/replica_placement.h"
#include "gentian_decisions/replica_quorum.h"
#include "gentian_decisions/shard_locator.h"

namespace gentian {

namespace {

/** A starting daemon waits this long for members that could be replicas. */
constexpr milliseconds kMemberWait{3'000};
constexpr milliseconds kStoreRetry{500};

}  // namespace

void shard_manager::Tick(node_context& context) {
  const incarnation& self = cluster_.self();
  if (self.epoch == 0) {
    return;
  }
  if (self != registered_) {
    RegisterNew(context);
  }
  for (const shard_id& id : Owned()) {
    const auto found = shards_.find(id);
    if (found == shards_.end()) {
      continue;
    }
    owned_shard& shard = found->second;
    if (shard.writing != write_kind::none) {
      if (context.now >= shard.retry_at) {
        ReadBack(id, context);
      }
      continue;
    }
    if (shard.record.owner != self) {
      CheckIncarnation(shard, id, context);
      continue;
    }
    CheckReplicas(id, shard, context);
  }
}

void shard_manager::RegisterNew(node_context& context) {
  const std::size_t fleet = cluster_.settings().daemons.size();
  const std::size_t wanted = std::min(kReplicas + 1, fleet);
  const std::size_t live = cluster_.LiveMembers().size();
  if (!waiting_since_) {
    waiting_since_ = context.now;
  }
  const bool waited = context.now >= *waiting_since_ + kMemberWait;
  if (live < wanted && (!waited || live < 2)) {
    return;
  }
  waiting_since_.reset();
  registered_ = cluster_.self();
  const std::uint32_t count = cluster_.settings().fleet.shards;
  for (std::uint32_t i = 0; i < count; ++i) {
    const shard_id id(registered_.ToString() + "-" + std::to_string(i));
    owned_shard& added = shards_[id];
    added.wanted.owner = registered_;
    added.wanted.generation = 1;
    added.wanted.replicas = ChooseReplicas(cluster_, id, {}, {});
    added.record = added.wanted;
    Write(id, added, write_kind::registration, context);
  }
}

void shard_manager::CheckIncarnation(owned_shard& shard,
                                     const shard_id& id,
                                     node_context& context) {
  // The lease expired and the daemon registered as a new incarnation. If a
  // successor has claimed the shard meanwhile, the version of the record has
  // changed and this write fails.
  if (shard.next_replicas) {
    copies_.KeepSet(id, false, context);
    shard.next_replicas.reset();
  }
  shard.wanted = shard.record;
  shard.wanted.owner = cluster_.self();
  ++shard.wanted.generation;
  Write(id, shard, write_kind::reclaim, context);
}

void shard_manager::Write(const shard_id& id,
                          owned_shard& shard,
                          write_kind kind,
                          node_context& context) {
  constexpr milliseconds kAnswerBound{60'000};
  shard.writing = kind;
  shard.retry_at = context.now + kAnswerBound;
  kv_operation operation = kv_delete{ShardKey(id), shard.version};
  if (kind != write_kind::removal) {
    kv_compare_and_swap write;
    write.key = ShardKey(id);
    write.expected_version = shard.version;
    write.value = json(shard.wanted).dump();
    operation = std::move(write);
  }
  store_.Call(
      std::move(operation), kv_access::priority::ownership,
      [this, id](const kv_answer& answer, node_context& later) {
        Written(id, answer, later);
      },
      context);
}

void shard_manager::Written(const shard_id& id,
                            const kv_answer& answer,
                            node_context& context) {
  const auto found = shards_.find(id);
  if (found == shards_.end() || found->second.writing == write_kind::none) {
    return;
  }
  const bool removal = found->second.writing == write_kind::removal;
  if (answer.outcome == kv_answer::status::ok && removal) {
    Removed(id, context);
    return;
  }
  if (answer.outcome == kv_answer::status::ok && !answer.entries.empty()) {
    Complete(id, answer.entries.front(), context);
    return;
  }
  // After a conflict or an unclear answer the stored record decides.
  found->second.retry_at = context.now + kStoreRetry;
}

void shard_manager::ReadBack(const shard_id& id, node_context& context) {
  constexpr milliseconds kAnswerBound{60'000};
  shards_[id].retry_at = context.now + kAnswerBound;
  store_.Call(
      kv_get{ShardKey(id)}, kv_access::priority::ownership,
      [this, id](const kv_answer& answer, node_context& later) {
        const auto found = shards_.find(id);
        if (found == shards_.end() ||
            found->second.writing == write_kind::none) {
          return;
        }
        if (answer.outcome != kv_answer::status::ok) {
          found->second.retry_at = later.now + kStoreRetry;
          return;
        }
        TakeStored(id,
                   answer.entries.empty() ? kv_entry{} : answer.entries.front(),
                   later);
      },
      context);
}

void shard_manager::TakeStored(const shard_id& id,
                               const kv_entry& stored,
                               node_context& context) {
  owned_shard& shard = shards_[id];
  if (stored.version == shard.version) {
    // The write has not taken effect yet. If it does later, the repeated write
    // conflicts and the record is read again.
    Write(id, shard, shard.writing, context);
    return;
  }
  if (stored.version == 0) {
    // Deleted, by this daemon or by a successor.
    if (shard.writing == write_kind::removal) {
      Removed(id, context);
    } else {
      Lose(id, incarnation{}, context);
    }
    return;
  }
  const auto parsed = ParseShardRecord(stored.value);
  if (Failed(parsed)) {
    shard.retry_at = context.now + kStoreRetry;
    return;
  }
  const shard_record& record = ValueOf(parsed);
  if (record.owner == shard.wanted.owner &&
      record.generation == shard.wanted.generation &&
      record.replicas == shard.wanted.replicas) {
    Complete(id, stored, context);
    return;
  }
  Lose(id, record.owner, context);
}

void shard_manager::Complete(const shard_id& id,
                             const kv_entry& stored,
                             node_context& context) {
  owned_shard& shard = shards_[id];
  const write_kind kind = shard.writing;
  shard.writing = write_kind::none;
  shard.version = stored.version;
  const shard_record before = std::exchange(shard.record, shard.wanted);
  switch (kind) {
    case write_kind::registration:
      shard.serving = true;
      copies_.Start(id, shard.record.generation, shard.record.replicas, {},
                    context);
      break;
    case write_kind::reclaim:
      copies_.Raise(id, shard.record.generation, context);
      break;
    case write_kind::replica_change:
      shard.next_replicas.reset();
      copies_.KeepSet(id, true, context);
      copies_.AnnounceCopied(id, context);
      NotifyReplaced(id, before, shard.record, context);
      context.counters.Add("shards.replicas_changed");
      break;
    case write_kind::removal:
    case write_kind::none:
      break;
  }
}

void shard_manager::Lose(const shard_id& id,
                         const incarnation& owner,
                         node_context& context) {
  shards_.erase(id);
  context.counters.Add("shards.lost");
  listener_.ShardLost(id, owner, context);
}

void shard_manager::TakeOver(const shard_id& shard,
                             const shard_record& record,
                             std::uint64_t version) {
  owned_shard& added = shards_[shard];
  added = owned_shard();
  added.record = record;
  added.version = version;
  added.serving = true;
}

void shard_manager::Fenced(const shard_id& shard,
                           std::uint64_t generation,
                           const incarnation& owner,
                           node_context& context) {
  const auto found = shards_.find(shard);
  if (found == shards_.end()) {
    return;
  }
  // While this daemon raises its own generation, replicas refuse the old one.
  const std::uint64_t own = std::max(found->second.record.generation,
                                     found->second.wanted.generation);
  if (generation > own) {
    Lose(shard, owner, context);
  }
}

bool shard_manager::Serves(const shard_id& shard) const {
  const auto found = shards_.find(shard);
  return found != shards_.end() && found->second.serving &&
         !found->second.frozen;
}

void shard_manager::SetFrozen(const shard_id& shard, bool frozen) {
  const auto found = shards_.find(shard);
  if (found != shards_.end()) {
    found->second.frozen = frozen;
  }
}

std::optional<shard_id> shard_manager::NextShard() {
  std::vector<shard_id> serving;
  std::vector<shard_id> own;
  for (const auto& [id, shard] : shards_) {
    if (Serves(id)) {
      serving.push_back(id);
    }
    if (Serves(id) && OpenerOf(id) == cluster_.self()) {
      own.push_back(id);
    }
  }
  if (!own.empty()) {
    serving = std::move(own);
  }
  if (serving.empty()) {
    return std::nullopt;
  }
  return serving[next_++ % serving.size()];
}

std::uint64_t shard_manager::Generation(const shard_id& shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? 0 : found->second.record.generation;
}

std::optional<shard_record> shard_manager::Record(const shard_id& shard) const {
  const auto found = shards_.find(shard);
  if (found == shards_.end()) {
    return std::nullopt;
  }
  return found->second.record;
}

std::vector<shard_id> shard_manager::Owned() const {
  std::vector<shard_id> owned;
  for (const auto& [id, shard] : shards_) {
    owned.push_back(id);
  }
  return owned;
}

json shard_manager::Status() const {
  json rows = json::array();
  for (const auto& [id, shard] : shards_) {
    rows.push_back({{"shard", id},
                    {"generation", shard.record.generation},
                    {"replicas", shard.record.replicas},
                    {"changing_replicas", shard.next_replicas.has_value()},
                    {"serving", Serves(id)}});
  }
  return rows;
}

}  // namespace gentian
