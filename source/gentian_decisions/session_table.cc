#include "gentian_decisions/session_table.h"

#include <cstdio>
#include <utility>

namespace gentian {

namespace {

std::string RandomSuffix(random_source& random) {
  constexpr std::size_t kDigits = 16;
  char text[kDigits + 1];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(random.Next()));
  return text;
}

}  // namespace

session_id session_table::NewId(const shard_id& shard, node_context& context) {
  // The random suffix keeps session ids from being guessed.
  return session_id(shard.text() + "." + std::to_string(++counter_) + "." +
                    RandomSuffix(context.random));
}

session& session_table::Create(const shard_id& shard, node_context& context) {
  const session_id id = NewId(shard, context);
  auto created = std::make_unique<session>(id, context.now);
  session& added = *created;
  sessions_[id] = std::move(created);
  return added;
}

void session_table::Insert(std::unique_ptr<session> adopted) {
  const session_id id = adopted->id();
  sessions_[id] = std::move(adopted);
}

session* session_table::Find(const session_id& id) {
  const auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : found->second.get();
}

void session_table::Append(session& target,
                           session_record_body body,
                           record_log::commit_handler handler,
                           node_context& context) {
  const session_record& record = target.Append(std::move(body), context.now);
  log_.Replicate(target.id(), record, std::move(handler), context);
}

void session_table::Retire(const session_id& id, node_context& context) {
  log_.Retire(id, context);
}

std::vector<session*> session_table::InShard(const shard_id& shard) {
  std::vector<session*> found;
  for (auto& [id, entry] : sessions_) {
    if (ShardOf(id) == shard) {
      found.push_back(entry.get());
    }
  }
  return found;
}

void session_table::EraseShard(const shard_id& shard) {
  for (auto at = sessions_.begin(); at != sessions_.end();) {
    at = ShardOf(at->first) == shard ? sessions_.erase(at) : std::next(at);
  }
}

}  // namespace gentian
