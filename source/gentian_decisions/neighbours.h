#ifndef GENTIAN_DECISIONS_NEIGHBOURS_H_
#define GENTIAN_DECISIONS_NEIGHBOURS_H_

#include <set>
#include <vector>

#include "gentian_decisions/member.h"

namespace gentian {

/** Largest fleet in which all daemons are neighbours of each other. */
constexpr std::size_t kFullyLinkedFleet = 8;

/** Chooses the daemons that a daemon keeps links to: all members when there
    are at most 8 daemons, else the two neighbours on a ring ordered by hash
    and 4 chosen by rendezvous hash, so that at least 3 of the 6 are in other
    failure domains if there are that many.

    @param self    host of the daemon that chooses
    @param domain  its failure domain
    @param others  the other members
*/
std::set<host_id> ChooseNeighbours(const host_id& self,
                                   const failure_domain_id& domain,
                                   const std::vector<member>& others);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_NEIGHBOURS_H_
