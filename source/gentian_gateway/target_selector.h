#ifndef GENTIAN_GATEWAY_TARGET_SELECTOR_H_
#define GENTIAN_GATEWAY_TARGET_SELECTOR_H_

#include <string>
#include <vector>

#include "gentian_gateway/target_table.h"

namespace gentian {

/** What a request asks of its target. */
struct target_requirements {
  std::string service;
  /** Requests with the same key share a prompt; empty for no affinity. */
  std::string affinity_key;
  /** Failure domain of the daemon, preferred between equals. */
  std::string failure_domain;
  /** Targets that this request has already tried. */
  std::vector<std::string> excluded;
};

/** Chooses a target for a request, or nothing if none is left.

    With an affinity key, targets are ranked by rendezvous hash, so that all
    daemons send the requests of one program to the same target without
    telling each other; one that is full or failing is passed over. Without,
    the least loaded target is chosen.
*/
const known_target* SelectTarget(const target_table& targets,
                                 const target_requirements& demand,
                                 steady_time now);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_SELECTOR_H_
