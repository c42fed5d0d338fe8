#ifndef GENTIAN_DECISIONS_SESSION_TABLE_H_
#define GENTIAN_DECISIONS_SESSION_TABLE_H_

#include <map>
#include <memory>
#include <vector>

#include "gentian_decisions/record_log.h"
#include "gentian_decisions/session.h"

namespace gentian {

/** The sessions of the shards that this daemon owns. */
class session_table {
 public:
  /** @param log  copies each appended record; must outlive the table */
  explicit session_table(record_log& log) : log_(log) {}

  /** A new id in a shard. */
  session_id NewId(const shard_id& shard, node_context& context);

  /** Adds a session without records in a shard. */
  session& Create(const shard_id& shard, node_context& context);

  /** Adds a session that was adopted. */
  void Insert(std::unique_ptr<session> adopted);

  /** A session of this table, nothing if it is not here. */
  session* Find(const session_id& id);

  /** Applies a record and copies it to the replicas. */
  void Append(session& target,
              session_record_body body,
              record_log::commit_handler handler,
              node_context& context);

  /** Gives up a session whose end is committed. It stays until all replicas
      know of the end. */
  void Retire(const session_id& id, node_context& context);

  /** Removes one session. */
  void Erase(const session_id& id) { sessions_.erase(id); }

  /** All sessions of a shard, in order of their ids. */
  std::vector<session*> InShard(const shard_id& shard);

  /** Removes all sessions of a shard. */
  void EraseShard(const shard_id& shard);

  std::size_t size() const { return sessions_.size(); }

 private:
  record_log& log_;
  std::map<session_id, std::unique_ptr<session>> sessions_;
  std::uint64_t counter_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SESSION_TABLE_H_
