#ifndef GENTIAN_GATEWAY_PATH_MONITOR_H_
#define GENTIAN_GATEWAY_PATH_MONITOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Tells a host that has lost its paths to all targets from targets that have
    failed: the host is partitioned if connections to several targets in a row
    fail, and none succeeds in between. Decides which targets to probe with a
    connection of their own.

    A target that is silent is not a failure; it is probed, and a connection
   that succeeds shows that the path is sound.
*/
class path_monitor {
 public:
  /** A target that can be probed. */
  struct candidate {
    std::string id;
    std::string service;
  };
  /** Targets to which connections should be opened now. */
  using probes = std::vector<std::string>;

  /** A direct connection could not be opened, or stopped being acknowledged. */
  void OnFailed(const std::string& target, steady_time now);
  /** A direct connection broke, which may be the target's fault: it is probed
      at once. */
  void OnBroken(const std::string& target, steady_time now);
  /** A direct connection was opened. */
  void OnConnected(const std::string& target, steady_time now);
  /** A request was sent on a direct connection. */
  void OnSent(const std::string& target, steady_time now);
  /** Bytes came on a direct connection, or the request ended. */
  void OnHeard(const std::string& target, steady_time now);

  /** Probes that are due: of silent targets, of others after a failure, and of
      any while partitioned. Their outcomes are reported by OnFailed and
      OnConnected.

      @param known   all targets
      @param random  any number; rotates the choice */
  probes TakeProbes(const std::vector<candidate>& known,
                    std::uint64_t random,
                    steady_time now);

  /** True if requests have to take another way. */
  bool IsPartitioned() const { return partitioned_; }
  /** When the state last changed. */
  steady_time changed_at() const { return changed_at_; }
  /** Targets that failed since the last connection that succeeded. */
  std::size_t failed_targets() const { return failed_.size(); }

 private:
  struct activity {
    /** When a request was sent that has brought no byte since. */
    steady_time waiting_since;
    bool is_waiting = false;
    steady_time probed_at;
    bool is_probing = false;
  };

  void SetPartitioned(bool partitioned, steady_time now);
  void StartProbe(const std::string& target, steady_time now, probes& due);
  bool MayProbe(const std::string& target, steady_time now);
  std::size_t CountProbes() const;
  void ProbeOthers(const std::vector<candidate>& known,
                   std::size_t count,
                   std::uint64_t random,
                   steady_time now,
                   probes& due);

  bool partitioned_ = false;
  /** A probe failed since the last connection that succeeded. */
  bool probe_failed_ = false;
  steady_time changed_at_;
  steady_time probed_at_;
  /** When each target failed, since the last connection that succeeded. */
  std::map<std::string, steady_time> failed_;
  std::map<std::string, activity> activities_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_PATH_MONITOR_H_
