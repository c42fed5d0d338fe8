#ifndef GENTIAN_DECISIONS_DAEMON_LEASE_H_
#define GENTIAN_DECISIONS_DAEMON_LEASE_H_

#include <string>

#include "gentian_decisions/kv_operation.h"

namespace gentian {

/** Key of a daemon's registration, which lives under its lease. */
inline std::string DaemonKey(const host_id& host) {
  return "/daemon/" + host.text();
}

/** True if an answer to a read of DaemonKey shows that an incarnation still
    holds its lease. A registration that can not be read counts as held.
*/
bool HoldsLease(const incarnation& owner, const kv_answer& registration);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_DAEMON_LEASE_H_
