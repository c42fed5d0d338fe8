#ifndef GENTIAN_DECISIONS_SHARD_CLEANER_H_
#define GENTIAN_DECISIONS_SHARD_CLEANER_H_

#include <functional>
#include <map>

#include "gentian_decisions/checkpoint_writer.h"
#include "gentian_decisions/session_table.h"
#include "gentian_decisions/shard_manager.h"

namespace gentian {

/** Removes the records of adopted shards whose sessions and checkpoints are
    gone. No session is opened in such a shard, because new sessions go to the
    shards that this daemon has created.
*/
class shard_cleaner {
 public:
  /** True while a caller's request uses the shard. */
  using use_check = std::function<bool(const shard_id&)>;

  /** All parameters must outlive this object. */
  shard_cleaner(const cluster_view& cluster,
                session_table& sessions,
                shard_manager& shards,
                const checkpoint_writer& checkpoints,
                use_check in_use)
      : cluster_(cluster),
        sessions_(sessions),
        shards_(shards),
        checkpoints_(checkpoints),
        in_use_(std::move(in_use)) {}

  /** Checks the owned shards once a second. */
  void Tick(node_context& context);

 private:
  bool IsUnused(const shard_id& shard);

  const cluster_view& cluster_;
  session_table& sessions_;
  shard_manager& shards_;
  const checkpoint_writer& checkpoints_;
  use_check in_use_;
  /** When each unused shard was first seen unused. */
  std::map<shard_id, steady_time> unused_;
  steady_time next_at_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_CLEANER_H_
