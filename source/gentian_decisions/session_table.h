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
  /** @param log  replicates appended records; must outlive the table */
  explicit session_table(record_log& log) : log_(log) {}

  /** Generates a session id in a shard. */
  session_id NewId(const shard_id& shard, node_context& context);

  /** Adds a session without records to a shard. */
  session& Create(const shard_id& shard, node_context& context);

  /** Adds a session that exists already, such as an adopted one. */
  void Insert(std::unique_ptr<session> adopted);

  /** The session with an id, nullptr if this table does not have it. */
  session* Find(const session_id& id);

  /** Applies a record and replicates it. The handler runs when the record is
      committed, possibly at once; never if the owner is fenced before. */
  void Append(session& target,
              session_record_body body,
              record_log::commit_handler handler,
              node_context& context);

  /** Schedules the removal of a session whose end is committed. It stays until
      all replicas know of the end. */
  void Retire(const session_id& id, node_context& context);

  void Erase(const session_id& id) { sessions_.erase(id); }

  /** All sessions of a shard, ordered by id. */
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
