#include "gentian_decisions/checkpoint_writer.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

/** Values have up to a megabyte; the rest is for names and the stamp. */
constexpr std::size_t kBatchBytes = 990'000;

}  // namespace

milliseconds checkpoint_writer::Interval(std::size_t daemons) {
  constexpr std::size_t kWritesPerSecond = 80;
  constexpr milliseconds kShortest{1'000};
  const milliseconds shared(daemons * 1'000 / kWritesPerSecond);
  return std::max(kShortest, shared);
}

void checkpoint_writer::Tick(node_context& context) {
  if (cluster_.self().epoch == 0 || context.now < next_at_) {
    return;
  }
  next_at_ = context.now + Interval(cluster_.settings().daemons.size());
  FollowShards();
  if (!write_) {
    StartWrite(context);
  } else if (!write_->calling) {
    SendWrite(context);
  }
  if (!cleaning_) {
    StartDelete(context);
  }
}

checkpoint_writer::progress* checkpoint_writer::Find(const shard_id& shard,
                                                     std::uint64_t generation) {
  const auto found = shards_saved_.find(shard);
  const bool known = found != shards_saved_.end() &&
                     found->second.saved.generation() == generation;
  return known ? &found->second : nullptr;
}

void checkpoint_writer::FollowShards() {
  for (auto at = shards_saved_.begin(); at != shards_saved_.end();) {
    const std::uint64_t generation = shards_.Generation(at->first);
    at = at->second.saved.generation() == generation ? std::next(at)
                                                     : shards_saved_.erase(at);
  }
  for (const shard_id& shard : shards_.Owned()) {
    const auto record = shards_.Record(shard);
    if (!shards_.Serves(shard) || shards_saved_.count(shard) > 0 ||
        record->owner != cluster_.self()) {
      continue;
    }
    progress added{checkpoint_shard(record->owner, record->generation), {}};
    if (record->generation == 1) {
      added.earlier.emplace();
    }
    shards_saved_.emplace(shard, std::move(added));
  }
  if (write_ && Find(write_->shard, write_->batch.generation) == nullptr) {
    write_.reset();
  }
}

std::optional<checkpoint_batch> checkpoint_writer::Pack(const shard_id& shard,
                                                        node_context& context) {
  std::vector<checkpoint_shard::source> sources;
  for (const session* found : sessions_.InShard(shard)) {
    if (!found->ended()) {
      sources.push_back({found, copies_.CommittedRecords(found->id())});
    }
  }
  return shards_saved_.at(shard).saved.Pack(sources, kBatchBytes, context.now,
                                            context.counters);
}

void checkpoint_writer::StartWrite(node_context& context) {
  std::vector<shard_id> turn;
  for (const auto& [shard, state] : shards_saved_) {
    turn.push_back(shard);
  }
  const auto after = std::upper_bound(turn.begin(), turn.end(), last_);
  std::rotate(turn.begin(), after, turn.end());
  for (const shard_id& shard : turn) {
    auto batch = Pack(shard, context);
    if (!batch) {
      continue;
    }
    last_ = shard;
    const std::uint64_t number = shards_saved_.at(shard).saved.next();
    write_state next;
    next.shard = shard;
    next.key = CheckpointKey(shard, batch->generation, number);
    next.value = EncodeCheckpoint(*batch);
    next.batch = std::move(*batch);
    write_ = std::move(next);
    SendWrite(context);
    return;
  }
}

void checkpoint_writer::SendWrite(node_context& context) {
  write_->calling = true;
  kv_compare_and_swap write;
  write.key = write_->key;
  write.value = write_->value;
  const std::string key = write_->key;
  store_.Call(
      std::move(write), kv_access::priority::checkpoint,
      [this, key](const kv_answer& answer, node_context& later) {
        if (write_ && write_->key == key) {
          Written(answer, later);
        }
      },
      context);
}

void checkpoint_writer::Written(const kv_answer& answer,
                                node_context& context) {
  write_->calling = false;
  progress* state = Find(write_->shard, write_->batch.generation);
  const bool stored = !answer.entries.empty() &&
                      (answer.outcome == kv_answer::status::ok ||
                       answer.entries.front().value == write_->value);
  if (state == nullptr) {
    write_.reset();
  } else if (stored) {
    state->saved.Saved(write_->batch, answer.entries.front().version);
    context.counters.Add("checkpoints.written");
    write_.reset();
  } else if (answer.outcome == kv_answer::status::conflict &&
             !answer.entries.empty()) {
    // Nobody else writes this key; its content is left alone.
    state->saved.SkipNumber();
    context.counters.Add("checkpoints.conflict");
    write_.reset();
  } else {
    // The same content is sent again under the same key: the write may have
    // taken effect.
    context.counters.Add("checkpoints.delayed");
  }
}

bool checkpoint_writer::HasNone(const shard_id& shard) const {
  const auto found = shards_saved_.find(shard);
  return found != shards_saved_.end() && found->second.earlier &&
         found->second.earlier->empty() && found->second.saved.IsEmpty() &&
         !(write_ && write_->shard == shard);
}

void checkpoint_writer::StartDelete(node_context& context) {
  for (auto& [shard, state] : shards_saved_) {
    if (!state.earlier && state.saved.IsComplete()) {
      ListEarlier(shard, context);
      return;
    }
    if (state.earlier && !state.earlier->empty()) {
      const kv_entry& entry = state.earlier->back();
      Delete(shard, kv_delete{entry.key, entry.version}, 0, context);
      return;
    }
    if (const auto found = state.saved.Obsolete()) {
      const std::string key =
          CheckpointKey(shard, state.saved.generation(), found->number);
      Delete(shard, kv_delete{key, found->version}, found->number, context);
      return;
    }
  }
}

void checkpoint_writer::Delete(const shard_id& shard,
                               kv_delete operation,
                               std::uint64_t number,
                               node_context& context) {
  cleaning_ = true;
  const std::uint64_t generation = shards_saved_.at(shard).saved.generation();
  store_.Call(
      std::move(operation), kv_access::priority::checkpoint,
      [this, shard, generation, number](const kv_answer& answer,
                                        node_context& later) {
        cleaning_ = false;
        progress* state = Find(shard, generation);
        const bool gone = answer.outcome == kv_answer::status::ok ||
                          answer.outcome == kv_answer::status::conflict;
        if (state == nullptr || !gone) {
          return;
        }
        later.counters.Add("checkpoints.deleted");
        if (number > 0) {
          state->saved.Deleted(number);
        } else {
          state->earlier->pop_back();
        }
      },
      context);
}

void checkpoint_writer::ListEarlier(const shard_id& shard,
                                    node_context& context) {
  cleaning_ = true;
  const std::uint64_t generation = shards_saved_.at(shard).saved.generation();
  store_.Call(
      kv_list{CheckpointPrefix(shard)}, kv_access::priority::checkpoint,
      [this, shard, generation](const kv_answer& answer,
                                node_context& /*later*/) {
        cleaning_ = false;
        progress* state = Find(shard, generation);
        if (state == nullptr || answer.outcome != kv_answer::status::ok) {
          return;
        }
        state->earlier.emplace();
        const std::string own = CheckpointKey(shard, generation, 0);
        for (const kv_entry& entry : answer.entries) {
          if (entry.key < own) {
            state->earlier->push_back({entry.key, "", entry.version});
          }
        }
      },
      context);
}

}  // namespace gentian
