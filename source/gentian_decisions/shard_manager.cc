#include "gentian_decisions/shard_manager.h"

#include <vector>

namespace gentian {

void shard_manager::Tick(node_context& context) {
  const incarnation& self = cluster_.self();
  if (self.epoch == 0 || self == registered_) {
    return;
  }
  registered_ = self;
  const std::uint32_t count = cluster_.settings().fleet.shards;
  for (std::uint32_t i = 0; i < count; ++i) {
    Register(shard_id(self.ToString() + "-" + std::to_string(i)), context);
  }
}

void shard_manager::Register(const shard_id& shard, node_context& context) {
  owned_shard& added = shards_[shard];
  added.record.owner = cluster_.self();
  added.record.generation = 1;
  kv_compare_and_swap write;
  write.key = ShardKey(shard);
  write.value = json(added.record).dump();
  store_.Call(
      std::move(write), kv_access::priority::ownership,
      [this, shard](const kv_answer& answer, node_context& later) {
        Registered(shard, answer, later);
      },
      context);
}

void shard_manager::Registered(const shard_id& shard,
                               const kv_answer& answer,
                               node_context& context) {
  owned_shard& added = shards_[shard];
  if (answer.outcome == kv_answer::status::ok && !answer.entries.empty()) {
    added.version = answer.entries.front().version;
    added.serving = true;
    return;
  }
  if (answer.outcome == kv_answer::status::conflict) {
    shards_.erase(shard);
    return;
  }
  Register(shard, context);
}

bool shard_manager::Serves(const shard_id& shard) const {
  const auto found = shards_.find(shard);
  return found != shards_.end() && found->second.serving;
}

std::optional<shard_id> shard_manager::NextShard() {
  std::vector<shard_id> serving;
  for (const auto& [id, shard] : shards_) {
    if (shard.serving) {
      serving.push_back(id);
    }
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

json shard_manager::Status() const {
  json rows = json::array();
  for (const auto& [id, shard] : shards_) {
    rows.push_back({{"shard", id},
                    {"generation", shard.record.generation},
                    {"serving", shard.serving}});
  }
  return rows;
}

}  // namespace gentian
