#ifndef GENTIAN_DECISIONS_ORPHAN_FINDER_H_
#define GENTIAN_DECISIONS_ORPHAN_FINDER_H_

#include <map>
#include <optional>
#include <vector>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/shard_record.h"

namespace gentian {

/** Replicas of a record that can be found.

    @see FencesNeeded
*/
std::size_t FindableReplicas(const cluster_view& cluster,
                             const shard_record& record);

/** Finds shards that no replica can adopt: the owner is gone and fewer
    replicas can be found than an adoption needs, for some time.
*/
class orphan_finder {
 public:
  /** All parameters must outlive this object. */
  orphan_finder(const cluster_view& cluster, kv_access& store)
      : cluster_(cluster), store_(store) {}

  /** Too few replicas for this long make a shard an orphan. It is longer than
      membership takes to know the members after a start. */
  static constexpr milliseconds kPatience{10'000};

  /** Lists the shards after a registration and then at intervals. */
  void Tick(node_context& context);

  /** Shards that this daemon may adopt now, by its rank among the members. */
  std::vector<shard_id> Due(steady_time now) const;
  bool IsDue(const shard_id& shard, steady_time now) const;

  /** Since when a shard has too few replicas, nothing if it has enough. */
  std::optional<steady_time> Since(const shard_id& shard) const;

  /** Forgets a shard that has an owner. */
  void Drop(const shard_id& shard) { shards_.erase(shard); }

 private:
  struct candidate {
    shard_record record;
    steady_time since;
  };

  milliseconds ListInterval() const;
  bool IsOrphan(const shard_record& record) const;
  void Take(const kv_answer& answer, steady_time now);

  const cluster_view& cluster_;
  kv_access& store_;
  std::map<shard_id, candidate> shards_;
  incarnation listed_as_;
  steady_time next_list_;
  bool calling_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_ORPHAN_FINDER_H_
