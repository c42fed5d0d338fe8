#include "gentian_decisions/replicator.h"

#include <algorithm>

#include "gentian_decisions/replica_quorum.h"

namespace gentian {

namespace {

constexpr milliseconds kResendAfter{200};
constexpr milliseconds kSilentAfter{2'000};

}  // namespace

replicator::shard_log* replicator::Find(const shard_id& shard) {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? nullptr : &found->second;
}

std::set<incarnation> replicator::AllReplicas(const shard_log& shard) {
  std::set<incarnation> all;
  for (const replica_set& replicas : shard.sets) {
    all.insert(replicas.begin(), replicas.end());
  }
  return all;
}

void replicator::Start(const shard_id& shard,
                       std::uint64_t generation,
                       const replica_set& replicas,
                       const std::vector<session_id>& sessions,
                       node_context& context) {
  shard_log& added = shards_[shard];
  added = shard_log();
  added.generation = generation;
  added.sets = {replicas};
  for (const session_id& session : sessions) {
    if (const auto* source = records_(session)) {
      added.sessions[session].size = source->records().size();
      added.sessions[session].copy_mark = source->records().size();
    }
  }
  Reconsider(shard, context);
}

void replicator::Raise(const shard_id& shard,
                       std::uint64_t generation,
                       node_context& context) {
  shard_log* log = Find(shard);
  if (log == nullptr) {
    return;
  }
  log->generation = generation;
  for (auto& [session, entry] : log->sessions) {
    entry.replicas.clear();
  }
  Reconsider(shard, context);
}

void replicator::AddSet(const shard_id& shard,
                        const replica_set& replicas,
                        node_context& context) {
  if (shard_log* log = Find(shard)) {
    log->sets.resize(1);
    log->sets.push_back(replicas);
    for (auto& [session, entry] : log->sessions) {
      entry.copy_mark = entry.size;
    }
    Reconsider(shard, context);
  }
}

void replicator::KeepSet(const shard_id& shard,
                         bool added,
                         node_context& context) {
  shard_log* log = Find(shard);
  if (log == nullptr || log->sets.size() < 2) {
    return;
  }
  log->sets.erase(added ? log->sets.begin() : log->sets.end() - 1);
  Reconsider(shard, context);
}

void replicator::Reconsider(const shard_id& id, node_context& context) {
  std::vector<session_id> sessions;
  for (const auto& [session, log] : Find(id)->sessions) {
    sessions.push_back(session);
  }
  for (const session_id& session : sessions) {
    shard_log* shard = Find(id);
    if (shard == nullptr) {
      return;
    }
    shard->lagging.insert(session);
    SendToLagging(id, *shard, session, false, context);
    Advance(id, session, context);
  }
}

void replicator::Replicate(const session_id& session,
                           const session_record& record,
                           commit_handler handler,
                           node_context& context) {
  const shard_id id = ShardOf(session);
  shard_log* shard = Find(id);
  if (shard == nullptr) {
    return;
  }
  session_log& log = shard->sessions[session];
  log.size = record.number;
  log.waiting.emplace_back(record.number, std::move(handler));
  shard->lagging.insert(session);
  SendToLagging(id, *shard, session, false, context);
  Advance(id, session, context);
}

void replicator::SendToLagging(const shard_id& id,
                               shard_log& shard,
                               const session_id& session,
                               bool only_late,
                               node_context& context) {
  session_log& log = shard.sessions[session];
  for (const incarnation& replica : AllReplicas(shard)) {
    replica_state& state = log.replicas[replica];
    const bool late =
        state.sent_number > 0 && context.now >= state.sent + kResendAfter;
    if (state.acknowledged < log.size && (late || !only_late)) {
      SendTo(id, shard, session, replica, late, context);
    }
  }
}

void replicator::SendTo(const shard_id& id,
                        shard_log& shard,
                        const session_id& session,
                        const incarnation& replica,
                        bool again,
                        node_context& context) {
  const auto* source = records_(session);
  if (source == nullptr) {
    return;
  }
  const auto& records = source->records();
  replica_state& state = shard.sessions[session].replicas[replica];
  // The first message of a generation must hold the whole session.
  const bool from_acknowledged = again || state.acknowledged == 0;
  const std::uint64_t first =
      from_acknowledged ? state.acknowledged : state.sent_number;
  if (first >= records.size()) {
    return;
  }
  state.sent = context.now;
  state.sent_number = records.size();
  shard.heard.emplace(replica, context.now);
  store_records message;
  message.to = replica;
  message.shard = id;
  message.generation = shard.generation;
  message.session = session;
  message.elapsed = source->Elapsed(context.now);
  message.records.assign(records.begin() + static_cast<std::ptrdiff_t>(first),
                         records.end());
  context.Emit(send_to_peer{replica.host, std::move(message)});
}

void replicator::Handle(const incarnation& from,
                        const records_stored& message,
                        node_context& context) {
  shard_log* shard = Find(message.shard);
  if (shard == nullptr || shard->generation != message.generation ||
      AllReplicas(*shard).count(from) == 0) {
    return;
  }
  const auto log = shard->sessions.find(message.session);
  if (log == shard->sessions.end()) {
    return;
  }
  shard->heard[from] = context.now;
  replica_state& state = log->second.replicas[from];
  // Acknowledgements can arrive late; a replica never holds less than before
  // within a generation.
  state.acknowledged = std::max(state.acknowledged, message.number);
  Advance(message.shard, message.session, context);
}

std::size_t replicator::Holders(const replica_set& replicas,
                                const session_log& log,
                                std::uint64_t number) {
  std::size_t holders = 0;
  for (const incarnation& replica : replicas) {
    const auto state = log.replicas.find(replica);
    const bool holds =
        state != log.replicas.end() && state->second.acknowledged >= number;
    holders += holds ? 1 : 0;
  }
  return holders;
}

std::uint64_t replicator::Committed(const shard_log& shard,
                                    const session_log& log) {
  std::uint64_t committed = log.size;
  for (const replica_set& replicas : shard.sets) {
    const std::size_t needed = AcksNeeded(replicas.size());
    if (needed == 0) {
      continue;
    }
    std::vector<std::uint64_t> numbers;
    for (const incarnation& replica : replicas) {
      const auto state = log.replicas.find(replica);
      numbers.push_back(
          state == log.replicas.end() ? 0 : state->second.acknowledged);
    }
    std::sort(numbers.rbegin(), numbers.rend());
    committed = std::min(committed, numbers[needed - 1]);
  }
  return committed;
}

void replicator::Advance(const shard_id& id,
                         const session_id& changed,
                         node_context& context) {
  // The id may belong to a session that a handler removes.
  const session_id session(changed.text());
  // A handler may append records, retire the session or stop the shard, so
  // that everything is looked up again after each one.
  while (shard_log* shard = Find(id)) {
    const auto found = shard->sessions.find(session);
    if (found == shard->sessions.end()) {
      return;
    }
    session_log& log = found->second;
    log.committed = std::max(log.committed, Committed(*shard, log));
    if (log.waiting.empty() || log.waiting.front().first > log.committed) {
      break;
    }
    const commit_handler handler = std::move(log.waiting.front().second);
    log.waiting.pop_front();
    handler(context);
  }
  CheckHeld(id, session, context);
}

void replicator::CheckHeld(const shard_id& id,
                           const session_id& session,
                           node_context& context) {
  shard_log* shard = Find(id);
  if (shard == nullptr) {
    return;
  }
  const auto found = shard->sessions.find(session);
  if (found == shard->sessions.end()) {
    return;
  }
  const session_log& log = found->second;
  for (const replica_set& replicas : shard->sets) {
    if (Holders(replicas, log, log.size) < replicas.size()) {
      return;
    }
  }
  shard->lagging.erase(session);
  if (!log.retired) {
    return;
  }
  // Only now can no replica bring the session back with its budget.
  for (const incarnation& replica : AllReplicas(*shard)) {
    forget_sessions message;
    message.to = replica;
    message.shard = id;
    message.generation = shard->generation;
    message.sessions = {session};
    context.Emit(send_to_peer{replica.host, std::move(message)});
  }
  shard->sessions.erase(found);
  forgotten_(session);
}

void replicator::Retire(const session_id& session, node_context& context) {
  const shard_id id = ShardOf(session);
  shard_log* shard = Find(id);
  if (shard == nullptr) {
    return;
  }
  shard->sessions[session].retired = true;
  CheckHeld(id, session, context);
}

bool replicator::IsCopied(const shard_id& shard, bool enough) const {
  const auto found = shards_.find(shard);
  if (found == shards_.end()) {
    return false;
  }
  const replica_set& replicas = found->second.sets.back();
  const std::size_t needed =
      enough ? AcksNeeded(replicas.size()) : replicas.size();
  for (const auto& [id, log] : found->second.sessions) {
    if (Holders(replicas, log, log.copy_mark) < needed) {
      return false;
    }
  }
  return true;
}

std::uint64_t replicator::CommittedRecords(const session_id& session) const {
  const auto shard = shards_.find(ShardOf(session));
  if (shard == shards_.end()) {
    return 0;
  }
  const auto log = shard->second.sessions.find(session);
  return log == shard->second.sessions.end() ? 0 : log->second.committed;
}

void replicator::AnnounceCopied(const shard_id& shard, node_context& context) {
  const shard_log* log = Find(shard);
  if (log == nullptr) {
    return;
  }
  for (const incarnation& replica : log->sets.back()) {
    shard_copied message;
    message.to = replica;
    message.shard = shard;
    message.generation = log->generation;
    context.Emit(send_to_peer{replica.host, std::move(message)});
  }
}

replicator::replica_set replicator::SilentReplicas(const shard_id& shard,
                                                   steady_time now) const {
  replica_set silent;
  const auto found = shards_.find(shard);
  if (found == shards_.end()) {
    return silent;
  }
  for (const auto& [replica, heard] : found->second.heard) {
    if (now >= heard + kSilentAfter) {
      silent.push_back(replica);
    }
  }
  return silent;
}

void replicator::Tick(node_context& context) {
  for (auto& [id, shard] : shards_) {
    std::set<incarnation> waiting_for;
    for (const session_id& session : shard.lagging) {
      SendToLagging(id, shard, session, true, context);
      const session_log& log = shard.sessions[session];
      for (const auto& [replica, state] : log.replicas) {
        if (state.acknowledged < log.size) {
          waiting_for.insert(replica);
        }
      }
    }
    // Silence counts only while an answer is due.
    for (auto at = shard.heard.begin(); at != shard.heard.end();) {
      at = waiting_for.count(at->first) == 0 ? shard.heard.erase(at)
                                             : std::next(at);
    }
  }
}

}  // namespace gentian
