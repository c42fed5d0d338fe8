#ifndef GENTIAN_DECISIONS_REPLACED_REPLICAS_H_
#define GENTIAN_DECISIONS_REPLACED_REPLICAS_H_

#include <algorithm>

#include "gentian_decisions/node_context.h"
#include "gentian_decisions/session_messages.h"
#include "gentian_decisions/shard_record.h"

namespace gentian {

/** Tells the replicas that a stored record does not name any more to drop their
    copies. A message that is lost leaves copies until the owner dies.

    @param before  the record until now
    @param after   the record as it is stored
*/
inline void NotifyReplaced(const shard_id& shard,
                           const shard_record& before,
                           const shard_record& after,
                           node_context& context) {
  for (const incarnation& replica : before.replicas) {
    const auto& current = after.replicas;
    const bool named =
        std::find(current.begin(), current.end(), replica) != current.end();
    // A replica that became the owner has dropped its copies itself.
    if (named || replica == after.owner) {
      continue;
    }
    forget_shard message;
    message.to = replica;
    message.shard = shard;
    message.generation = std::max(before.generation, after.generation);
    context.Emit(send_to_peer{replica.host, std::move(message)});
  }
}

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_REPLACED_REPLICAS_H_
