#ifndef GENTIAN_DECISIONS_SHARD_LOCATOR_H_
#define GENTIAN_DECISIONS_SHARD_LOCATOR_H_

#include <map>
#include <optional>
#include <set>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/shard_record.h"

namespace gentian {

/** Caches which incarnation owns a shard, to save a look-up per session. An
    entry can be out of date: the owner itself checks each request.
*/
class shard_locator {
 public:
  /** Both parameters must outlive this object. */
  shard_locator(const cluster_view& cluster, kv_access& store)
      : cluster_(cluster), store_(store) {}

  /** The cached owner, or else the incarnation that the shard is named after.
      Nothing if the record was deleted or that incarnation is unknown.
  */
  std::optional<incarnation> OwnerOf(const shard_id& shard) const;

  /** Stores an owner if its generation is higher than the known one. */
  void Learn(const shard_id& shard,
             std::uint64_t generation,
             const incarnation& owner);

  /** Reads a shard's stored record, at most once a second for each shard. */
  void Refresh(const shard_id& shard, node_context& context);

 private:
  struct known_owner {
    incarnation owner;
    std::uint64_t generation = 0;
    std::optional<steady_time> asked;
    bool absent = false;
  };

  const cluster_view& cluster_;
  kv_access& store_;
  std::map<shard_id, known_owner> owners_;
};

/** The incarnation that created a shard, parsed from its name; nothing if the
    text is not a shard id.
*/
std::optional<incarnation> OpenerOf(const shard_id& shard);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_LOCATOR_H_
