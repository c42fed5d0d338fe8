#ifndef GENTIAN_GATEWAY_TARGET_SELECTOR_H_
#define GENTIAN_GATEWAY_TARGET_SELECTOR_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gentian_gateway/domain_charges.h"
#include "gentian_gateway/expected_completion.h"
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
  /** A hash of the request. Decides which targets are compared, so that daemons
      with the same reports don't all choose the same target. */
  std::uint64_t draw = 0;
  request_work work;
  /** What leaving the failure domain costs; nullptr if only equally loaded
      targets are compared by domain. Not used with an affinity key. */
  const domain_charges* charges = nullptr;
  /** Leaves out targets for which it is false; null for none. */
  std::function<bool(const target_record&)> may_run = nullptr;
};

/** Chooses a target for a request; nullptr if none is left.

    With an affinity key, targets are ranked by rendezvous hash, so that all
    daemons send the requests of one program to the same target without
    coordination; targets that are full or failing rank last. Targets whose
    limits leave no room are left out.
    Without a key, the least loaded target is chosen, and one that names a limit
    only if the others are full.
    While a cold target has no room, others are chosen only if they have free
    slots.

    For a service whose targets report a pace, the target without a key is the
    one of a few with the soonest expected completion; the few are drawn by the
    request's hash in proportion to capacity. With a key, a target whose
    expected completion is much later than usual counts as full.
*/
const known_target* SelectTarget(const target_table& targets,
                                 const target_requirements& demand,
                                 steady_time now);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_SELECTOR_H_
