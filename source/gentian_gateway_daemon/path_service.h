#ifndef GENTIAN_GATEWAY_DAEMON_PATH_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_PATH_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_net/gentian_net.h"

namespace gentian {

/** Notices when this host has lost its paths to all targets, and names other
    gateways that connect to targets for it meanwhile. Does the same for other
    gateways. Used on the I/O thread only.
    @see path_monitor, tunnel_server
*/
class path_service {
 public:
  path_service(io_pool& pool,
               const gateway_settings& settings,
               gateway_state& state);

  /** Starts to probe, and to serve other gateways at the tunnel address. */
  result<success> Start();
  /** Takes no more tunnels for other gateways. */
  void Stop();

  /** The gateway whose tunnel server is to connect to a target; nullptr if a
      direct connection is to be used. Valid until the members change.

      @param policy  decides which gateways may carry the request */
  const member_record* TunnelTo(const known_target& target,
                                const placement_policy& policy) const;

  /** A request was sent.

      @param tunnel  through which it was sent; empty if directly */
  void OnSent(const std::string& target, const std::string& tunnel);
  /** An answer began.

      @param is_new_connection  the connection was opened for the request */
  void OnAnswer(const std::string& target,
                const std::string& tunnel,
                bool is_new_connection);
  /** More bytes came, or the request ended. */
  void OnHeard(const std::string& target, const std::string& tunnel);
  /** The request failed. */
  void OnFailed(const std::string& target,
                const std::string& tunnel,
                http_failure failure);

  /** Has a function run when a partition is noticed.

      @returns  a number for Unwatch */
  std::uint64_t Watch(std::function<void()> on_partition);
  void Unwatch(std::uint64_t watch) { watches_.erase(watch); }

  bool IsPartitioned() const { return monitor_.IsPartitioned(); }
  /** Tunnels for other gateways over which answers may be on their way. */
  std::size_t tunnels() const { return tunnels_.tunnels(); }
  std::size_t busy_tunnels() const { return tunnels_.busy_tunnels(); }

 private:
  void Probe();
  void OnDirectFailure(const std::string& target);
  void OnDirectConnection(const std::string& target);
  void ReportChange(bool before);
  result<std::string> Resolve(const std::string& target) const;
  void OnTunnelConnected(const std::string& target, bool connected);

  io_pool& pool_;
  const gateway_settings& settings_;
  gateway_state& state_;
  path_monitor monitor_;
  system_random random_;
  tunnel_server tunnels_;
  std::map<std::string, steady_time> avoided_tunnels_;
  std::uint64_t last_watch_ = 0;
  std::map<std::uint64_t, std::function<void()>> watches_;
  /** Targets that a tunnel server could not reach, one after the other. */
  std::map<std::string, int> unreachable_;
  repeating_task probing_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_PATH_SERVICE_H_
