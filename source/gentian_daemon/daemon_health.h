#ifndef GENTIAN_DAEMON_DAEMON_HEALTH_H_
#define GENTIAN_DAEMON_DAEMON_HEALTH_H_

#include <optional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What health and readiness are judged by. Used from one strand. */
class daemon_health {
 public:
  /** The decision loop has handled a tick. */
  void Ticked(steady_time now) { last_tick_ = now; }

  /** The configuration in force; 0 if none is known yet. */
  void SetVersion(std::uint64_t version) { version_ = version; }

  /** A planned stop has begun. */
  void StartDraining() { draining_ = true; }

  /** Answer of `/health`: success while the decision loop runs. A failure
      means that the process should be restarted.
  */
  result<json> Health(steady_time now) const;

  /** Answer of `/ready`: success while the daemon takes new requests. */
  result<json> Readiness(steady_time now) const;

 private:
  std::optional<steady_time> last_tick_;
  std::uint64_t version_ = 0;
  bool draining_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_DAEMON_HEALTH_H_
