#include "gentian_decisions/shard_adopter.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gentian_decisions/daemon_lease.h"

namespace gentian {

namespace {

constexpr milliseconds kCheckInterval{1'000};
/** A candidate delays its claim by this for each one that ranks before it, so
    that usually only the first of them claims the shard. */
constexpr milliseconds kRankWait{2'000};
constexpr milliseconds kRetryInterval{500};
/** New replicas that have not completed their copies by then are replaced. */
constexpr milliseconds kCopyDeadline{5'000};

std::optional<std::size_t> RankOf(const incarnation& self,
                                  const shard_id& shard,
                                  const shard_record& record) {
  std::vector<host_id> hosts;
  bool named = false;
  for (const incarnation& replica : record.replicas) {
    hosts.push_back(replica.host);
    named = named || replica == self;
  }
  if (!named) {
    return std::nullopt;
  }
  const auto order = RendezvousOrder(shard.text(), hosts);
  const auto found = std::find(order.begin(), order.end(), self.host);
  return static_cast<std::size_t>(found - order.begin());
}

}  // namespace

shard_adopter::shard_adopter(const cluster_view& cluster,
                             kv_access& store,
                             replica_store& held,
                             replicator& copies,
                             session_table& sessions,
                             shard_manager& shards,
                             shard_owner_listener& listener)
    : cluster_(cluster),
      store_(store),
      held_(held),
      copies_(copies),
      sessions_(sessions),
      shards_(shards),
      listener_(listener),
      orphans_(cluster, store),
      checkpoints_(store) {}

void shard_adopter::Tick(node_context& context) {
  if (cluster_.self().epoch == 0) {
    return;
  }
  orphans_.Tick(context);
  std::set<shard_id> candidates;
  for (const shard_id& shard : held_.Shards()) {
    candidates.insert(shard);
  }
  for (const shard_id& shard : orphans_.Due(context.now)) {
    candidates.insert(shard);
  }
  for (const shard_id& shard : candidates) {
    if (adoptions_.count(shard) == 0 && !shards_.Record(shard)) {
      Watch(shard, context);
    }
  }
  std::vector<shard_id> running;
  for (const auto& [shard, state] : adoptions_) {
    running.push_back(shard);
  }
  for (const shard_id& shard : running) {
    Step(shard, context);
  }
}

void shard_adopter::Watch(const shard_id& shard, node_context& context) {
  const auto owner = held_.OwnerOf(shard);
  const bool owned =
      !owner || (cluster_.IsAlive(*owner) && *owner != cluster_.self());
  if (owned && !orphans_.IsDue(shard, context.now)) {
    watches_.erase(shard);
    return;
  }
  watch& state = watches_[shard];
  if (state.calling || context.now < state.checked + kCheckInterval) {
    return;
  }
  state.calling = true;
  state.checked = context.now;
  store_.Call(
      kv_get{ShardKey(shard)}, kv_access::priority::ownership,
      [this, shard](const kv_answer& answer, node_context& later) {
        watches_[shard].calling = false;
        if (answer.outcome == kv_answer::status::ok &&
            !answer.entries.empty()) {
          TakeRecord(shard, answer.entries.front(), later);
        }
      },
      context);
}

void shard_adopter::TakeRecord(const shard_id& shard,
                               const kv_entry& entry,
                               node_context& context) {
  const auto parsed = ParseShardRecord(entry.value);
  if (Failed(parsed) || adoptions_.count(shard) > 0 || shards_.Record(shard)) {
    return;
  }
  const shard_record& record = ValueOf(parsed);
  if (record.owner == cluster_.self()) {
    // This incarnation's own claim; the answer to its write was lost.
    if (record.phase == shard_record::state::adopting) {
      Resume(shard, record, entry.version, context);
    }
    return;
  }
  if (cluster_.IsAlive(record.owner)) {
    orphans_.Drop(shard);
    watches_[shard].expired_since.reset();
    return;
  }
  CheckLease(shard, record, entry.version, context);
}

void shard_adopter::CheckLease(const shard_id& shard,
                               const shard_record& record,
                               std::uint64_t version,
                               node_context& context) {
  watches_[shard].calling = true;
  store_.Call(
      kv_get{DaemonKey(record.owner.host)}, kv_access::priority::ownership,
      [this, shard, record, version](const kv_answer& answer,
                                     node_context& later) {
        watches_[shard].calling = false;
        if (answer.outcome != kv_answer::status::ok) {
          return;
        }
        if (HoldsLease(record.owner, answer)) {
          watches_[shard].expired_since.reset();
          return;
        }
        HandleExpiredLease(shard, record, version, later);
      },
      context);
}

void shard_adopter::HandleExpiredLease(const shard_id& shard,
                                       const shard_record& record,
                                       std::uint64_t version,
                                       node_context& context) {
  watch& state = watches_[shard];
  if (!state.expired_since) {
    state.expired_since = context.now;
  }
  const auto rank = RankOf(cluster_.self(), shard, record);
  if (!rank && orphans_.IsDue(shard, context.now)) {
    state.calling = true;
    CheckReplicaLeases(
        record, 0, 0,
        [this, shard, record, version](bool gone, node_context& later) {
          watches_[shard].calling = false;
          if (gone) {
            Claim(shard, record, version, later);
          }
        },
        context);
    return;
  }
  if (!rank) {
    // The record names other replicas: the copies here are not needed.
    held_.DropCopies(shard);
    return;
  }
  const auto wait = kRankWait * static_cast<std::int64_t>(*rank);
  if (context.now >= *state.expired_since + wait) {
    Claim(shard, record, version, context);
  }
}

void shard_adopter::Claim(const shard_id& shard,
                          const shard_record& record,
                          std::uint64_t version,
                          node_context& context) {
  if (adoptions_.count(shard) > 0 || shards_.Record(shard)) {
    return;
  }
  adoption_state& state = adoptions_[shard];
  state.record = record;
  state.record.owner = cluster_.self();
  ++state.record.generation;
  state.record.phase = shard_record::state::adopting;
  state.stage_started = context.now;
  kv_compare_and_swap write;
  write.key = ShardKey(shard);
  write.expected_version = version;
  write.value = json(state.record).dump();
  const shard_record claimed = state.record;
  store_.Call(
      std::move(write), kv_access::priority::ownership,
      [this, shard, claimed](const kv_answer& answer, node_context& later) {
        adoptions_.erase(shard);
        // Without a clear answer, the next read of the record shows the owner.
        if (answer.outcome == kv_answer::status::ok &&
            !answer.entries.empty()) {
          Resume(shard, claimed, answer.entries.front().version, later);
        }
      },
      context);
}

void shard_adopter::Resume(const shard_id& shard,
                           const shard_record& record,
                           std::uint64_t version,
                           node_context& context) {
  if (record.owner != cluster_.self()) {
    return;
  }
  context.counters.Add("shards.claimed");
  adoption_state& state = adoptions_[shard];
  state = adoption_state();
  state.at = stage::fencing;
  state.record = record;
  state.version = version;
  state.collected.emplace(shard, record);
  state.stage_started = context.now;
  state.short_since = orphans_.Since(shard);
  AskForPromises(state, context);
  Advance(shard, context);
}

void shard_adopter::AskForPromises(adoption_state& state,
                                   node_context& context) {
  state.asked = context.now;
  for (fence_request& request : state.collected->MissingPages()) {
    if (request.to != cluster_.self()) {
      context.Emit(send_to_peer{request.to.host, std::move(request)});
      continue;
    }
    bool last = false;
    while (!last) {
      const auto answer = held_.Fence(cluster_.self(), request, context.now);
      const auto* page = std::get_if<fence_promise>(&answer);
      if (page == nullptr) {
        break;
      }
      state.collected->AddPage(cluster_.self(), *page);
      last = page->last;
      if (!page->copies.empty()) {
        request.after = page->copies.back().session;
      }
    }
  }
}

void shard_adopter::Handle(const incarnation& from,
                           const fence_promise& message,
                           node_context& context) {
  const auto found = adoptions_.find(message.shard);
  if (found == adoptions_.end() || found->second.at != stage::fencing) {
    return;
  }
  found->second.collected->AddPage(from, message);
  if (!message.last) {
    AskForPromises(found->second, context);
  }
  Advance(message.shard, context);
}

void shard_adopter::Handle(const incarnation& /*from*/,
                           const store_refused& message,
                           node_context& /*context*/) {
  const auto found = adoptions_.find(message.shard);
  if (found != adoptions_.end() &&
      message.promised > found->second.record.generation) {
    Abandon(message.shard);
  }
}

void shard_adopter::Handle(const incarnation& from,
                           const hand_over& message,
                           node_context& context) {
  if (adoptions_.count(message.shard) > 0) {
    return;
  }
  if (const auto own = shards_.Record(message.shard)) {
    // The announcement of the new owner was lost. It is repeated, or the
    // previous owner would offer the shard forever and never finish draining.
    TellOwner(from, message.shard, *own, context);
    return;
  }
  store_.Call(
      kv_get{ShardKey(message.shard)}, kv_access::priority::ownership,
      [this, from, message](const kv_answer& answer, node_context& later) {
        if (answer.outcome != kv_answer::status::ok || answer.entries.empty()) {
          return;
        }
        const kv_entry& entry = answer.entries.front();
        const auto parsed = ParseShardRecord(entry.value);
        if (Failed(parsed)) {
          return;
        }
        const shard_record& record = ValueOf(parsed);
        if (record.owner == cluster_.self() &&
            record.phase == shard_record::state::adopting) {
          // An earlier claim; the answer to its write was lost.
          Resume(message.shard, record, entry.version, later);
          return;
        }
        if (record.owner == from && record.generation == message.generation) {
          Claim(message.shard, record, entry.version, later);
        } else if (record.owner != from &&
                   record.phase == shard_record::state::active) {
          TellOwner(from, message.shard, record, later);
        }
      },
      context);
}

void shard_adopter::TellOwner(const incarnation& previous,
                              const shard_id& shard,
                              const shard_record& record,
                              node_context& context) {
  context.Emit(send_to_peer{
      previous.host, owner_changed{shard, record.generation, record.owner}});
}

void shard_adopter::Step(const shard_id& shard, node_context& context) {
  const auto found = adoptions_.find(shard);
  if (found == adoptions_.end()) {
    return;
  }
  adoption_state& state = found->second;
  if (state.at == stage::fencing &&
      context.now >= state.asked + kRetryInterval) {
    AskForPromises(state, context);
  }
  if (state.at == stage::fencing) {
    WatchReplicas(shard, state, context);
  }
  if (state.at == stage::copying &&
      context.now >= state.stage_started + kCopyDeadline) {
    StartCopying(shard, state, context);
  }
  if (state.at == stage::activating && !state.calling &&
      context.now >= state.asked + kRetryInterval) {
    CheckActivation(shard, context);
  }
  Advance(shard, context);
}

void shard_adopter::Advance(const shard_id& shard, node_context& context) {
  const auto found = adoptions_.find(shard);
  if (found == adoptions_.end()) {
    return;
  }
  adoption_state& state = found->second;
  if (state.at == stage::fencing && state.collected->IsFenced()) {
    for (auto& adopted : state.collected->Merge(context.now)) {
      sessions_.Insert(std::move(adopted));
    }
    StartCopying(shard, state, context);
  }
  const bool has_replicas = !state.record.replicas.empty();
  if (state.at == stage::copying && has_replicas &&
      copies_.IsCopied(shard, true)) {
    Activate(shard, state, context);
  }
}

}  // namespace gentian
