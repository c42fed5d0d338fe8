#ifndef GENTIAN_DECISIONS_CHECKPOINT_WRITER_H_
#define GENTIAN_DECISIONS_CHECKPOINT_WRITER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentian_decisions/checkpoint_shard.h"
#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/replicator.h"
#include "gentian_decisions/session_table.h"
#include "gentian_decisions/shard_manager.h"

namespace gentian {

/** Saves the sessions of the shards that this daemon owns in the key-value
    service. Only committed records are saved. An outage of the service delays
    batches and has no other effect.

    @see checkpoint_reader
*/
class checkpoint_writer {
 public:
  /** All parameters must outlive this object. */
  checkpoint_writer(const cluster_view& cluster,
                    kv_access& store,
                    const replicator& copies,
                    session_table& sessions,
                    const shard_manager& shards)
      : cluster_(cluster),
        store_(store),
        copies_(copies),
        sessions_(sessions),
        shards_(shards) {}

  /** Writes and deletes at most one batch in each interval. */
  void Tick(node_context& context);

  /** True if no batch of an owned shard is stored any more. */
  bool HasNone(const shard_id& shard) const;

  /** Time between two batches of one daemon. */
  static milliseconds Interval(std::size_t daemons);

 private:
  /** What is done with the batches of one owned shard. */
  struct progress {
    checkpoint_shard saved;
    /** Batches of earlier owners; nothing until they were listed. */
    std::optional<std::vector<kv_entry>> earlier;
  };
  /** A batch that is being written. It keeps its content until it is known
      to be stored. */
  struct write_state {
    shard_id shard;
    checkpoint_batch batch;
    std::string key;
    std::string value;
    bool calling = false;
  };

  void FollowShards();
  void StartWrite(node_context& context);
  std::optional<checkpoint_batch> Pack(const shard_id& shard,
                                       node_context& context);
  void SendWrite(node_context& context);
  void Written(const kv_answer& answer, node_context& context);
  void StartDelete(node_context& context);
  void Delete(const shard_id& shard,
              kv_delete operation,
              std::uint64_t number,
              node_context& context);
  void ListEarlier(const shard_id& shard, node_context& context);
  progress* Find(const shard_id& shard, std::uint64_t generation);

  const cluster_view& cluster_;
  kv_access& store_;
  const replicator& copies_;
  session_table& sessions_;
  const shard_manager& shards_;
  std::map<shard_id, progress> shards_saved_;
  std::optional<write_state> write_;
  bool cleaning_ = false;
  /** Shard of the last batch; the next one comes from the shard after it. */
  shard_id last_;
  steady_time next_at_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CHECKPOINT_WRITER_H_
