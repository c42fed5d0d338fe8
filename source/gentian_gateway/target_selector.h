#ifndef GENTIAN_GATEWAY_TARGET_SELECTOR_H_
#define GENTIAN_GATEWAY_TARGET_SELECTOR_H_

#include <functional>
#include <string>
#include <vector>

#include "gentian_gateway/target_table.h"

namespace gentian {

/** Criteria by which a target is chosen for a request. */
struct target_requirements {
  std::string service;
  /** Requests with the same key share a prompt; empty for no affinity. */
  std::string affinity_key;
  /** Failure domain of the daemon, preferred among equally loaded targets. */
  std::string failure_domain;
  /** Targets that this request has already tried. */
  std::vector<std::string> excluded;
  /** Leaves out targets that have a limit. */
  bool skip_limited = false;
  /** Software version that the target must have; empty for any. */
  std::string version;
  /** Software version that is preferred among targets with free slots; empty
      for none. */
  std::string preferred_version;
  /** Leaves out targets for which it is false; null for none. */
  std::function<bool(const target_record&)> may_run = nullptr;
};

/** Chooses a target for a request; nullptr if none is left.

    With an affinity key, targets are ranked by rendezvous hash, so that all
    daemons send the requests of one program to the same target without
    coordination; targets that are full or failing rank last. Targets whose
    limits leave no room are left out.
    Without a key, the least loaded target is chosen, and one with a limit only
    if the others are full.
*/
const known_target* SelectTarget(const target_table& targets,
                                 const target_requirements& demand,
                                 steady_time now);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_SELECTOR_H_
