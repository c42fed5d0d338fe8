#ifndef GENTIAN_GATEWAY_DAEMON_LISTING_MONITOR_H_
#define GENTIAN_GATEWAY_DAEMON_LISTING_MONITOR_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "gentian_gateway_daemon/gateway_state.h"

namespace gentian {

/** Records how old a gateway's listings of the key-value service are, and what
    their transfers take: metrics, and a log line for each listing that becomes
    stale or is young again. Used on the I/O thread only.
*/
class listing_monitor {
 public:
  /** Where a listing came from. */
  enum class origin { key_value_service, gateway };

  explicit listing_monitor(gateway_state& state) : state_(state) {}

  /** A listing, or what changed in it, was received.

      @param bytes  of its keys and values */
  void OnReceived(const std::string& listing,
                  origin from,
                  duration took,
                  std::size_t bytes);

  /** The bytes of the answer to another gateway. */
  void OnPassedOn(std::size_t bytes);

  /** Reports the present age of a listing; nothing if it has never come. */
  void OnAge(const std::string& listing,
             std::optional<duration> age,
             bool is_stale);

 private:
  gateway_state& state_;
  /** Names of the listings that are stale. */
  std::set<std::string> stale_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_LISTING_MONITOR_H_
