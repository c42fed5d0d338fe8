#include "gentian_decisions/replica_store.h"

#include <utility>

namespace gentian {

namespace {

/** Records in one page of copies; a page ends after the session that reaches
    this, so that a peer message stays within a few megabytes. */
constexpr std::size_t kRecordsPerPage = 512;

}  // namespace

void replica_store::SetSelf(const incarnation& self) {
  if (self_ != self) {
    shards_.clear();
    self_ = self;
  }
}

std::optional<store_refused> replica_store::Promise(const incarnation& owner,
                                                    const shard_id& shard,
                                                    std::uint64_t generation) {
  shard_copies& entry = shards_[shard];
  const bool is_new = generation > entry.promised;
  if (is_new) {
    entry.promised = generation;
    entry.owner = owner;
  }
  if (generation < entry.promised || owner != entry.owner) {
    return store_refused{shard, entry.promised, entry.owner};
  }
  return std::nullopt;
}

void replica_store::Store(const store_records& message, copy& target) {
  if (message.generation > target.generation) {
    if (message.records.empty() || message.records.front().number != 1) {
      return;
    }
    // The whole session replaces the copy of an earlier owner, whose tail may
    // hold records that were never acknowledged.
    target.generation = message.generation;
    target.records = message.records;
    return;
  }
  for (const session_record& record : message.records) {
    if (record.number == target.records.size() + 1) {
      target.records.push_back(record);
    }
  }
}

void replica_store::Handle(const incarnation& from,
                           const store_records& message,
                           node_context& context) {
  if (message.to != self_) {
    return;
  }
  if (auto refused = Promise(from, message.shard, message.generation)) {
    context.counters.Add("replica.refused");
    context.Emit(send_to_peer{from.host, std::move(*refused)});
    return;
  }
  copy& target = shards_[message.shard].sessions[message.session];
  Store(message, target);
  target.opened = context.now - message.elapsed;
  records_stored answer;
  answer.shard = message.shard;
  answer.generation = message.generation;
  answer.session = message.session;
  if (target.generation == message.generation) {
    answer.number = target.records.size();
  }
  context.Emit(send_to_peer{from.host, std::move(answer)});
}

void replica_store::Handle(const incarnation& from,
                           const shard_copied& message,
                           node_context& /*context*/) {
  if (message.to != self_ || Promise(from, message.shard, message.generation)) {
    return;
  }
  auto& sessions = shards_[message.shard].sessions;
  for (auto at = sessions.begin(); at != sessions.end();) {
    at = at->second.generation < message.generation ? sessions.erase(at)
                                                    : std::next(at);
  }
}

void replica_store::Handle(const incarnation& from,
                           const forget_sessions& message,
                           node_context& /*context*/) {
  if (message.to != self_ || Promise(from, message.shard, message.generation)) {
    return;
  }
  for (const session_id& session : message.sessions) {
    shards_[message.shard].sessions.erase(session);
  }
}

void replica_store::Handle(const incarnation& from,
                           const forget_shard& message,
                           node_context& /*context*/) {
  if (message.to == self_ &&
      !Promise(from, message.shard, message.generation)) {
    DropCopies(message.shard);
  }
}

void replica_store::Handle(const incarnation& from,
                           const fence_request& message,
                           node_context& context) {
  if (message.to != self_) {
    return;
  }
  auto answer = Fence(from, message, context.now);
  std::visit(
      [&](auto& body) {
        context.Emit(send_to_peer{from.host, std::move(body)});
      },
      answer);
}

std::variant<fence_promise, store_refused> replica_store::Fence(
    const incarnation& candidate,
    const fence_request& request,
    steady_time now) {
  if (auto refused = Promise(candidate, request.shard, request.generation)) {
    return std::move(*refused);
  }
  fence_promise answer;
  answer.shard = request.shard;
  answer.generation = request.generation;
  answer.after = request.after;
  const auto& sessions = shards_[request.shard].sessions;
  std::size_t records = 0;
  auto at = sessions.upper_bound(request.after);
  for (; at != sessions.end() && records < kRecordsPerPage; ++at) {
    const copy& held = at->second;
    session_copy page;
    page.session = at->first;
    page.generation = held.generation;
    page.elapsed = ToMilliseconds(now - held.opened);
    page.records = held.records;
    records += held.records.size();
    answer.copies.push_back(std::move(page));
  }
  answer.last = at == sessions.end();
  return answer;
}

std::optional<incarnation> replica_store::OwnerOf(const shard_id& shard) const {
  const auto found = shards_.find(shard);
  if (found == shards_.end()) {
    return std::nullopt;
  }
  return found->second.owner;
}

std::vector<shard_id> replica_store::Shards() const {
  std::vector<shard_id> shards;
  for (const auto& [id, entry] : shards_) {
    shards.push_back(id);
  }
  return shards;
}

void replica_store::DropCopies(const shard_id& shard) {
  const auto found = shards_.find(shard);
  if (found != shards_.end()) {
    found->second.sessions.clear();
  }
}

}  // namespace gentian
