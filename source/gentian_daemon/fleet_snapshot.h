#ifndef GENTIAN_DAEMON_FLEET_SNAPSHOT_H_
#define GENTIAN_DAEMON_FLEET_SNAPSHOT_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "gentian_daemon/daemon_options.h"
#include "gentian_decisions/cluster_view.h"

namespace gentian {

/** What the I/O side of a daemon knows of the fleet. Filled on the decision
    thread, read on any.
*/
class fleet_snapshot {
 public:
  /** Takes over what a node knows.

      @param seeds  addresses from the daemon's own settings
      @returns      addresses of the other daemons by host
  */
  std::map<std::string, std::string> Update(
      const cluster_view& view,
      const std::vector<peer_address>& seeds);

  /** Targets to poll. */
  std::vector<target_settings> Targets() const;

  /** True if the configuration lists no other daemon. */
  bool IsAlone() const;

 private:
  mutable std::mutex mutex_;
  std::vector<target_settings> targets_;
  std::size_t daemons_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_FLEET_SNAPSHOT_H_
