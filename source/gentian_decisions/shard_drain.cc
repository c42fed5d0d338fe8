#include "gentian_decisions/shard_drain.h"

#include <algorithm>

#include "gentian_decisions/session_messages.h"

namespace gentian {

namespace {

/** A shard that is still busy by then is frozen: it takes no new calls. */
constexpr milliseconds kBusyTimeout{5'000};
/** A frozen shard is served again if no successor has taken it by then, for
    instance because the key-value service is down. */
constexpr milliseconds kFreezeTimeout{10'000};
constexpr milliseconds kRetryInterval{1'000};
/** After this the shard is offered to the next successor. */
constexpr milliseconds kSuccessorTimeout{4'000};

}  // namespace

void shard_drain::Start(steady_time now) {
  if (!started_) {
    started_ = now;
  }
}

std::vector<host_id> shard_drain::Successors(const shard_id& shard) const {
  std::vector<host_id> hosts;
  for (const member& entry : cluster_.LiveMembers()) {
    if (entry.id.host != cluster_.self().host && !entry.draining) {
      hosts.push_back(entry.id.host);
    }
  }
  hosts = RendezvousOrder(shard.text(), std::move(hosts));
  // Replicas come first: they hold most of the copies already.
  const auto record = shards_.Record(shard);
  std::stable_partition(hosts.begin(), hosts.end(), [&](const host_id& host) {
    return record &&
           std::any_of(record->replicas.begin(), record->replicas.end(),
                       [&](const incarnation& replica) {
                         return replica.host == host;
                       });
  });
  return hosts;
}

void shard_drain::Tick(node_context& context) {
  if (!started_) {
    return;
  }
  for (const shard_id& shard : shards_.Owned()) {
    Continue(shard, context);
  }
}

void shard_drain::Continue(const shard_id& shard, node_context& context) {
  const auto added = states_.try_emplace(shard);
  shard_state& state = added.first->second;
  if (added.second) {
    state.since = context.now;
  }
  if (Successors(shard).empty()) {
    return;
  }
  if (!state.frozen) {
    if (!is_busy_(shard) || context.now >= state.since + kBusyTimeout) {
      state.frozen = true;
      state.since = context.now;
      shards_.SetFrozen(shard, true);
    }
    return;
  }
  if (is_busy_(shard)) {
    // kFreezeTimeout starts when the last call has ended.
    state.since = context.now;
    return;
  }
  if (context.now >= state.since + kFreezeTimeout) {
    // A successor that has taken the shard meanwhile has fenced its replicas,
    // so that serving it again cannot run a call twice.
    state.frozen = false;
    state.since = context.now;
    state.asked.reset();
    shards_.SetFrozen(shard, false);
    return;
  }
  Ask(shard, state, context);
}

void shard_drain::Ask(const shard_id& shard,
                      shard_state& state,
                      node_context& context) {
  if (state.asked && context.now < *state.asked + kRetryInterval) {
    return;
  }
  const auto frozen_for = context.now - state.since;
  const auto index = static_cast<std::size_t>(frozen_for / kSuccessorTimeout);
  const std::vector<host_id> hosts = Successors(shard);
  state.asked = context.now;
  hand_over message;
  message.shard = shard;
  message.generation = shards_.Generation(shard);
  context.Emit(send_to_peer{hosts[index % hosts.size()], std::move(message)});
}

bool shard_drain::IsDone(steady_time now) const {
  if (!started_ || now < *started_ + cluster_.settings().fleet.address_ttl) {
    return false;
  }
  const std::vector<shard_id> owned = shards_.Owned();
  return std::all_of(owned.begin(), owned.end(), [&](const shard_id& shard) {
    return Successors(shard).empty() && !is_busy_(shard);
  });
}

}  // namespace gentian
