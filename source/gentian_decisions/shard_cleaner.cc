#include "gentian_decisions/shard_cleaner.h"

#include "gentian_decisions/shard_locator.h"

namespace gentian {

namespace {

constexpr milliseconds kInterval{1'000};
/** Leaves time for requests sent before the last session ended. */
constexpr milliseconds kUnusedRetention{10'000};
/** A restored shard is kept longer: as long as its record exists, callers of
    lost sessions are told that their calls may have run. */
constexpr milliseconds kRestoredRetention{600'000};

}  // namespace

bool shard_cleaner::IsUnused(const shard_id& shard) {
  return shards_.Serves(shard) && OpenerOf(shard) != cluster_.self() &&
         !in_use_(shard) && sessions_.InShard(shard).empty() &&
         checkpoints_.HasNone(shard);
}

void shard_cleaner::Tick(node_context& context) {
  if (context.now < next_at_) {
    return;
  }
  next_at_ = context.now + kInterval;
  std::map<shard_id, steady_time> unused;
  for (const shard_id& shard : shards_.Owned()) {
    if (!IsUnused(shard)) {
      continue;
    }
    const auto known = unused_.find(shard);
    const steady_time since =
        known == unused_.end() ? context.now : known->second;
    const bool restored = shards_.Record(shard)->restored;
    if (context.now >=
        since + (restored ? kRestoredRetention : kUnusedRetention)) {
      shards_.Remove(shard, context);
    } else {
      unused[shard] = since;
    }
  }
  unused_ = std::move(unused);
}

}  // namespace gentian
