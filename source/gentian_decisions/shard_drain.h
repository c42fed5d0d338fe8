#ifndef GENTIAN_DECISIONS_SHARD_DRAIN_H_
#define GENTIAN_DECISIONS_SHARD_DRAIN_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/shard_manager.h"

namespace gentian {

/** Drains the shards of a daemon for a planned stop: lets running calls finish
    and hands each shard over to a successor. Requests for a shard that is
    being handed over wait; none is dropped.
*/
class shard_drain {
 public:
  /** True if a shard has calls or requests that have not ended. */
  using busy_check = std::function<bool(const shard_id&)>;

  /** All parameters must outlive this object. */
  shard_drain(const cluster_view& cluster,
              shard_manager& shards,
              busy_check is_busy)
      : cluster_(cluster), shards_(shards), is_busy_(std::move(is_busy)) {}

  /** Starts to drain; later calls have no effect. */
  void Start(steady_time now);

  /** True from Start on, also when all shards are handed over. */
  bool IsDraining() const { return started_.has_value(); }

  /** Freezes idle shards and offers frozen ones to successors. */
  void Tick(node_context& context);

  /** True if no owned shard is busy or has a possible successor, and the
      addresses that this daemon handed out before the drain have expired.
  */
  bool IsDone(steady_time now) const;

 private:
  struct shard_state {
    bool frozen = false;
    /** When it was last frozen, served again or, while frozen, busy. */
    steady_time since;
    std::optional<steady_time> asked;
  };

  void Continue(const shard_id& shard, node_context& context);
  void Ask(const shard_id& shard, shard_state& state, node_context& context);
  std::vector<host_id> Successors(const shard_id& shard) const;

  const cluster_view& cluster_;
  shard_manager& shards_;
  busy_check is_busy_;
  std::optional<steady_time> started_;
  std::map<shard_id, shard_state> states_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_DRAIN_H_
