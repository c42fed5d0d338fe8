#ifndef GENTIAN_DECISIONS_REPLICA_STORE_H_
#define GENTIAN_DECISIONS_REPLICA_STORE_H_

#include <map>
#include <optional>
#include <vector>

#include "gentian_decisions/node_context.h"
#include "gentian_decisions/session_messages.h"

namespace gentian {

/** Copies of sessions that this daemon keeps for other owners, and the
    generations that it has promised.
*/
class replica_store {
 public:
  /** Sets the incarnation that messages must be meant for. A new one holds no
      copies, because it is not named in any replica set.
  */
  void SetSelf(const incarnation& self);

  void Handle(const incarnation& from,
              const store_records& message,
              node_context& context);
  void Handle(const incarnation& from,
              const shard_copied& message,
              node_context& context);
  void Handle(const incarnation& from,
              const forget_sessions& message,
              node_context& context);
  void Handle(const incarnation& from,
              const forget_shard& message,
              node_context& context);
  void Handle(const incarnation& from,
              const fence_request& message,
              node_context& context);

  /** Promises a generation to a candidate and returns the page of copies, or
      the refusal if a higher one was promised.
  */
  std::variant<fence_promise, store_refused> Fence(const incarnation& candidate,
                                                   const fence_request& request,
                                                   steady_time now);

  /** Owner that the newest promise of a shard was given to. */
  std::optional<incarnation> OwnerOf(const shard_id& shard) const;

  /** Shards with copies or promises. */
  std::vector<shard_id> Shards() const;

  /** Drops the copies of a shard but keeps the promise. */
  void DropCopies(const shard_id& shard);

 private:
  struct copy {
    std::uint64_t generation = 0;
    /** When the session was opened, on this process's clock. */
    steady_time opened;
    std::vector<session_record> records;
  };
  struct shard_copies {
    std::uint64_t promised = 0;
    incarnation owner;
    std::map<session_id, copy> sessions;
  };

  std::optional<store_refused> Promise(const incarnation& owner,
                                       const shard_id& shard,
                                       std::uint64_t generation);
  static void Store(const store_records& message, copy& target);

  incarnation self_;
  std::map<shard_id, shard_copies> shards_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_REPLICA_STORE_H_
