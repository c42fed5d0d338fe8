#ifndef GENTIAN_DECISIONS_SHARD_ADOPTER_H_
#define GENTIAN_DECISIONS_SHARD_ADOPTER_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "gentian_decisions/checkpoint_reader.h"
#include "gentian_decisions/orphan_finder.h"
#include "gentian_decisions/replaced_replicas.h"
#include "gentian_decisions/replica_store.h"
#include "gentian_decisions/replicator.h"
#include "gentian_decisions/session_table.h"
#include "gentian_decisions/shard_adoption.h"
#include "gentian_decisions/shard_manager.h"

namespace gentian {

/** Adopts shards whose owner has lost its lease or is draining: claims the
    record, fences the replicas, copies the merged sessions to a new replica
    set, and activates the record. No call of the shard is dispatched before
    that. If too few replicas can be found, the sessions are restored from
    checkpoints instead.
*/
class shard_adopter {
 public:
  /** All parameters must outlive this object. */
  shard_adopter(const cluster_view& cluster,
                kv_access& store,
                replica_store& held,
                replicator& copies,
                session_table& sessions,
                shard_manager& shards,
                shard_owner_listener& listener);

  /** Looks for shards whose owner is gone, and advances running adoptions. */
  void Tick(node_context& context);

  /** Adopts a shard that its draining owner offers. */
  void Handle(const incarnation& from,
              const hand_over& message,
              node_context& context);
  void Handle(const incarnation& from,
              const fence_promise& message,
              node_context& context);
  void Handle(const incarnation& from,
              const store_refused& message,
              node_context& context);

  /** Adoptions in progress, for status output. */
  std::size_t size() const { return adoptions_.size(); }

 private:
  enum class stage { claiming, fencing, copying, activating };

  struct adoption_state {
    stage at = stage::claiming;
    shard_record record;
    std::uint64_t version = 0;
    std::optional<shard_adoption> collected;
    steady_time stage_started;
    steady_time asked;
    bool calling = false;
    /** Since when too few replicas can be found; unset while enough can. */
    std::optional<steady_time> short_since;
    /** True while the checkpoints are being read. */
    bool reading = false;
  };
  /** Progress of the checks whether the owner of a shard is gone. */
  struct watch {
    std::optional<steady_time> expired_since;
    steady_time checked;
    bool calling = false;
  };

  void Watch(const shard_id& shard, node_context& context);
  void TakeRecord(const shard_id& shard,
                  const kv_entry& entry,
                  node_context& context);
  void CheckLease(const shard_id& shard,
                  const shard_record& record,
                  std::uint64_t version,
                  node_context& context);
  void HandleExpiredLease(const shard_id& shard,
                          const shard_record& record,
                          std::uint64_t version,
                          node_context& context);
  /** Calls a handler with true if fewer replicas hold a lease than an adoption
      needs; with false otherwise, and if the key-value service does not answer.

      @param checked  replicas of the record that were checked already
      @param held     how many of these hold a lease
  */
  void CheckReplicaLeases(const shard_record& record,
                          std::size_t checked,
                          std::size_t held,
                          const std::function<void(bool, node_context&)>& then,
                          node_context& context);
  void Claim(const shard_id& shard,
             const shard_record& record,
             std::uint64_t version,
             node_context& context);
  void Resume(const shard_id& shard,
              const shard_record& record,
              std::uint64_t version,
              node_context& context);
  static void TellOwner(const incarnation& previous,
                        const shard_id& shard,
                        const shard_record& record,
                        node_context& context);
  void Step(const shard_id& shard, node_context& context);
  void AskForPromises(adoption_state& state, node_context& context);
  void Advance(const shard_id& shard, node_context& context);
  void WatchReplicas(const shard_id& shard,
                     adoption_state& state,
                     node_context& context);
  void ReadCheckpoints(const shard_id& shard,
                       adoption_state& state,
                       node_context& context);
  void TakeCheckpoints(const shard_id& shard,
                       std::uint64_t generation,
                       const std::optional<checkpoint_contents>& contents,
                       node_context& context);
  void Restore(const shard_id& shard,
               adoption_state& state,
               const checkpoint_contents& contents,
               node_context& context);
  void StartCopying(const shard_id& shard,
                    adoption_state& state,
                    node_context& context);
  void Activate(const shard_id& shard,
                adoption_state& state,
                node_context& context);
  void CheckActivation(const shard_id& shard, node_context& context);
  void CompleteAdoption(const shard_id& shard,
                        std::uint64_t version,
                        node_context& context);
  void Abandon(const shard_id& shard);

  const cluster_view& cluster_;
  kv_access& store_;
  replica_store& held_;
  replicator& copies_;
  session_table& sessions_;
  shard_manager& shards_;
  shard_owner_listener& listener_;
  orphan_finder orphans_;
  checkpoint_reader checkpoints_;
  std::map<shard_id, watch> watches_;
  std::map<shard_id, adoption_state> adoptions_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_ADOPTER_H_
