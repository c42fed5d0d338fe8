// Restores sessions from checkpoints if too few replicas can be found.
#include <algorithm>
#include <utility>

#include "gentian_decisions/checkpoint_writer.h"
#include "gentian_decisions/daemon_lease.h"
#include "gentian_decisions/replica_quorum.h"
#include "gentian_decisions/shard_adopter.h"

namespace gentian {

namespace {

constexpr milliseconds kReadRetryDelay{1'000};

}  // namespace

// A replica that this daemon cannot reach may still hold its lease. Then it is
// not gone, and the adoption waits for it.
void shard_adopter::CheckReplicaLeases(
    const shard_record& record,
    std::size_t checked,
    std::size_t held,
    const std::function<void(bool, node_context&)>& then,
    node_context& context) {
  const bool enough = held >= FencesNeeded(record.replicas.size());
  if (enough || checked == record.replicas.size()) {
    then(!enough, context);
    return;
  }
  const incarnation replica = record.replicas[checked];
  store_.Call(
      kv_get{DaemonKey(replica.host)}, kv_access::priority::ownership,
      [this, record, checked, held, replica, then](const kv_answer& answer,
                                                   node_context& later) {
        if (answer.outcome != kv_answer::status::ok) {
          then(false, later);
          return;
        }
        const std::size_t holds = HoldsLease(replica, answer) ? 1 : 0;
        CheckReplicaLeases(record, checked + 1, held + holds, then, later);
      },
      context);
}

void shard_adopter::WatchReplicas(const shard_id& shard,
                                  adoption_state& state,
                                  node_context& context) {
  if (FindableReplicas(cluster_, state.record) >=
      FencesNeeded(state.record.replicas.size())) {
    state.short_since.reset();
    return;
  }
  if (!state.short_since) {
    state.short_since = context.now;
  }
  const bool due = context.now >= *state.short_since + orphan_finder::kPatience;
  if (due && !state.reading) {
    ReadCheckpoints(shard, state, context);
  }
}

void shard_adopter::ReadCheckpoints(const shard_id& shard,
                                    adoption_state& state,
                                    node_context& context) {
  state.reading = true;
  const std::uint64_t generation = state.record.generation;
  CheckReplicaLeases(
      state.record, 0, 0,
      [this, shard, generation](bool gone, node_context& later) {
        if (!gone) {
          TakeCheckpoints(shard, generation, std::nullopt, later);
          return;
        }
        checkpoints_.Read(
            shard,
            [this, shard, generation](
                const std::optional<checkpoint_contents>& contents,
                node_context& last) {
              TakeCheckpoints(shard, generation, contents, last);
            },
            later);
      },
      context);
}

void shard_adopter::TakeCheckpoints(
    const shard_id& shard,
    std::uint64_t generation,
    const std::optional<checkpoint_contents>& contents,
    node_context& context) {
  const auto found = adoptions_.find(shard);
  if (found == adoptions_.end() ||
      found->second.record.generation != generation ||
      found->second.at != stage::fencing) {
    return;
  }
  adoption_state& state = found->second;
  state.reading = false;
  if (!contents) {
    // Retried after a delay, so that a service that fails fast is not flooded.
    state.short_since =
        context.now - orphan_finder::kPatience + kReadRetryDelay;
  } else if (!state.collected->IsFenced()) {
    Restore(shard, state, *contents, context);
  }
}

void shard_adopter::Restore(const shard_id& shard,
                            adoption_state& state,
                            const checkpoint_contents& contents,
                            node_context& context) {
  std::size_t count = 0;
  for (auto& restored :
       state.collected->Restore(contents.sessions, context.now)) {
    if (!restored->ended()) {
      restored->Append(session_restored{}, context.now);
      ++count;
    }
    sessions_.Insert(std::move(restored));
  }
  state.record.restored = true;
  context.counters.Add("sessions.restored", count);
  context.counters.Add("shards.restored");
  context.counters.Add("checkpoints.damaged", contents.damaged);
  const auto& settings = cluster_.settings();
  const milliseconds interval =
      checkpoint_writer::Interval(settings.daemons.size());
  // The owner wrote one shard per interval, in turn.
  const milliseconds window = interval * settings.fleet.shards;
  context.Emit(write_log{
      log_level::warning,
      "restored sessions from checkpoints; calls within the loss window before "
      "the failure may be missing",
      json{{"shard", shard},
           {"sessions", count},
           {"batches", contents.batches},
           {"damaged_batches", contents.damaged},
           {"loss_window_ms", std::max(window, contents.oldest).count()}}});
  StartCopying(shard, state, context);
}

}  // namespace gentian
