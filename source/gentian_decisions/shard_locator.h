#ifndef GENTIAN_DECISIONS_SHARD_LOCATOR_H_
#define GENTIAN_DECISIONS_SHARD_LOCATOR_H_

#include <map>
#include <optional>
#include <set>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/shard_record.h"

namespace gentian {

/** Knows which incarnation owns a shard of another daemon, without a look-up
    per session. What it knows can be old; the owner itself decides.
*/
class shard_locator {
 public:
  /** Both parameters must outlive this object. */
  shard_locator(const cluster_view& cluster, kv_access& store)
      : cluster_(cluster), store_(store) {}

  /** The owner as far as known. Without further knowledge it is the
      incarnation that the shard is named after.
  */
  std::optional<incarnation> OwnerOf(const shard_id& shard) const;

  /** Takes news of an owner; older generations are ignored. */
  void Learn(const shard_id& shard,
             std::uint64_t generation,
             const incarnation& owner);

  /** Reads the record of a shard, at most once a second. */
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

/** The incarnation that a shard is named after, nothing if the text is not a
    shard id.
*/
std::optional<incarnation> OpenerOf(const shard_id& shard);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_LOCATOR_H_
