#ifndef GENTIAN_DECISIONS_SHARD_OWNER_LISTENER_H_
#define GENTIAN_DECISIONS_SHARD_OWNER_LISTENER_H_

#include "gentian_decisions/node_context.h"
#include "gentian_decisions/shard_record.h"

namespace gentian {

/** Is notified when this daemon adopts a shard or loses one. */
class shard_owner_listener {
 public:
  virtual ~shard_owner_listener() = default;

  /** The adoption is complete; the shard and its sessions are served now. */
  virtual void ShardAdopted(const shard_id& shard,
                            const shard_record& record,
                            node_context& context) = 0;

  /** Another owner has the shard; no result of its calls may be released. */
  virtual void ShardLost(const shard_id& shard,
                         const incarnation& owner,
                         node_context& context) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_OWNER_LISTENER_H_
