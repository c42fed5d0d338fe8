#ifndef GENTIAN_DECISIONS_SHARD_MANAGER_H_
#define GENTIAN_DECISIONS_SHARD_MANAGER_H_

#include <map>
#include <optional>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/shard_record.h"

namespace gentian {

/** Registers the shards of this incarnation and knows which it owns. */
class shard_manager {
 public:
  /** Both parameters must outlive this object. */
  shard_manager(const cluster_view& cluster, kv_access& store)
      : cluster_(cluster), store_(store) {}

  /** Registers the shards of a new incarnation. */
  void Tick(node_context& context);

  /** True if this daemon owns a shard and serves it. */
  bool Serves(const shard_id& shard) const;

  /** A shard to open a session in, nothing before registration. Takes the
      shards in turn, so that a successor gets about the same share of each.
  */
  std::optional<shard_id> NextShard();

  /** The generation of an owned shard, 0 for others. */
  std::uint64_t Generation(const shard_id& shard) const;

  /** Owned shards for status output. */
  json Status() const;

 private:
  struct owned_shard {
    shard_record record;
    std::uint64_t version = 0;
    bool serving = false;
  };

  void Register(const shard_id& shard, node_context& context);
  void Registered(const shard_id& shard,
                  const kv_answer& answer,
                  node_context& context);

  const cluster_view& cluster_;
  kv_access& store_;
  incarnation registered_;
  std::map<shard_id, owned_shard> shards_;
  std::uint64_t next_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_MANAGER_H_
