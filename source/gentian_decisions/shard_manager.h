#ifndef GENTIAN_DECISIONS_SHARD_MANAGER_H_
#define GENTIAN_DECISIONS_SHARD_MANAGER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/replaced_replicas.h"
#include "gentian_decisions/replicator.h"
#include "gentian_decisions/shard_owner_listener.h"
#include "gentian_decisions/shard_record.h"

namespace gentian {

/** Registers the shards that this daemon owns, changes their replicas and
    detects their loss. Records are written by compare-and-swap; after an
    unclear answer the record is read back and decides.

    @see shard_adopter for taking over shards of others
*/
class shard_manager {
 public:
  /** All parameters must outlive this object. */
  shard_manager(const cluster_view& cluster,
                kv_access& store,
                replicator& copies,
                shard_owner_listener& listener)
      : cluster_(cluster),
        store_(store),
        copies_(copies),
        listener_(listener) {}

  /** Registers shards, replaces unusable replicas, reads back writes. */
  void Tick(node_context& context);

  /** Starts to own an adopted shard whose active record is stored. */
  void TakeOver(const shard_id& shard,
                const shard_record& record,
                std::uint64_t version);

  /** Stops serving an owned shard without sessions and deletes its record. */
  void Remove(const shard_id& shard, node_context& context);

  /** Gives a shard up if another owner has a higher generation of it. */
  void Fenced(const shard_id& shard,
              std::uint64_t generation,
              const incarnation& owner,
              node_context& context);

  /** True if this daemon owns a shard and serves it; false if frozen. */
  bool Serves(const shard_id& shard) const;

  /** Stops or resumes serving an owned shard, without giving it up. */
  void SetFrozen(const shard_id& shard, bool frozen);

  /** The shard to open the next session in, nothing before registration. Goes
      round the shards, so that their successors get about equal shares.
      Adopted shards are used only if no shard created here is served, so that
      they can be removed when their sessions have ended.
  */
  std::optional<shard_id> NextShard();

  /** The generation of an owned shard, 0 for others. */
  std::uint64_t Generation(const shard_id& shard) const;

  /** The record of an owned shard, nothing for others. */
  std::optional<shard_record> Record(const shard_id& shard) const;

  /** All owned shards. */
  std::vector<shard_id> Owned() const;

  /** Owned shards for status output. */
  json Status() const;

 private:
  /** A write of the record whose result is not known yet. */
  enum class write_kind {
    none,
    registration,
    reclaim,
    replica_change,
    removal
  };

  struct owned_shard {
    shard_record record;
    std::uint64_t version = 0;
    bool serving = false;
    bool frozen = false;
    write_kind writing = write_kind::none;
    /** The record as it is being written. */
    shard_record wanted;
    /** Replica set that is being copied to. */
    std::optional<std::vector<incarnation>> next_replicas;
    steady_time change_started;
    steady_time retry_at;
  };

  void RegisterNew(node_context& context);
  void CheckIncarnation(owned_shard& shard,
                        const shard_id& id,
                        node_context& context);
  void Write(const shard_id& id,
             owned_shard& shard,
             write_kind kind,
             node_context& context);
  void Written(const shard_id& id,
               const kv_answer& answer,
               node_context& context);
  void ReadBack(const shard_id& id, node_context& context);
  void TakeStored(const shard_id& id,
                  const kv_entry& stored,
                  node_context& context);
  void Complete(const shard_id& id,
                const kv_entry& stored,
                node_context& context);
  void Removed(const shard_id& id, node_context& context);
  void Lose(const shard_id& id,
            const incarnation& owner,
            node_context& context);
  void CheckReplicas(const shard_id& id,
                     owned_shard& shard,
                     node_context& context);
  std::set<incarnation> Unusable(const shard_id& id,
                                 const owned_shard& shard,
                                 node_context& context) const;
  void ContinueChange(const shard_id& id,
                      owned_shard& shard,
                      node_context& context);

  const cluster_view& cluster_;
  kv_access& store_;
  replicator& copies_;
  shard_owner_listener& listener_;
  incarnation registered_;
  std::optional<steady_time> waiting_since_;
  std::map<shard_id, owned_shard> shards_;
  std::uint64_t next_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_MANAGER_H_
