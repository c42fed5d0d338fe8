#ifndef GENTIAN_DECISIONS_REPLICA_PLACEMENT_H_
#define GENTIAN_DECISIONS_REPLICA_PLACEMENT_H_

#include <set>
#include <vector>

#include "gentian_decisions/cluster_view.h"

namespace gentian {

/** Chooses the replicas of a shard: one in each of two other failure domains,
    a third on another host of the owner's, so that no two share a failure
    domain while there are three. Hosts with a data folder come first.

    @param cluster   members and this daemon, which is the owner
    @param shard     spreads the shards of one owner over the members
    @param excluded  incarnations that must not be chosen
    @param kept      current replicas, preferred over others
*/
std::vector<incarnation> ChooseReplicas(const cluster_view& cluster,
                                        const shard_id& shard,
                                        const std::set<incarnation>& excluded,
                                        const std::vector<incarnation>& kept);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_REPLICA_PLACEMENT_H_
