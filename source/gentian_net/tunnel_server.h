#ifndef GENTIAN_NET_TUNNEL_SERVER_H_
#define GENTIAN_NET_TUNNEL_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_net/io_pool.h"

namespace gentian {

/** Bounds of a tunnel_server. */
struct tunnel_limits {
  /** Time for the line of a client, and for the connection that it asks for. */
  milliseconds open_deadline{1'000};
  milliseconds connect_limit{200};
  /** Time without a byte in either direction after which a tunnel is closed. */
  milliseconds idle_deadline{60'000};
  /** Each holds 32 KB. */
  std::size_t max_tunnels = 400;
};

/** Opens TCP connections for hosts that can't reach a server themselves, and
    copies bytes in both directions unchanged.

    A client sends the line `FRAMES name` and reads `OK`, `UNREACHABLE` if the
    connection failed, or a line with the reason of a refusal. The server's
   bytes then come in frames (see tunnel_frames.h), of which an empty one stands
   for the server's orderly end; a reset is passed on as a reset.

    A client of an earlier build sends `CONNECT name` and gets the bytes without
    frames. It can't tell the end of the server from that of the tunnel.
*/
class tunnel_server {
 public:
  /** Finds the `ip:port` of a server by the name that a client sends, or the
      reason for which no connection is opened. Runs on an I/O thread. */
  using resolver = std::function<result<std::string>(const std::string& name)>;
  /** Receives whether a server could be connected to; runs on an I/O thread. */
  using connect_handler =
      std::function<void(const std::string& name, bool connected)>;

  tunnel_server(io_pool& pool,
                resolver resolve,
                connect_handler on_connect = nullptr,
                tunnel_limits limits = {});
  /** Closes all tunnels. */
  ~tunnel_server();
  tunnel_server(const tunnel_server&) = delete;
  tunnel_server& operator=(const tunnel_server&) = delete;

  /** @param address  `ip:port`; port 0 picks a free one */
  result<success> Listen(const std::string& address);
  /** The bound `ip:port`. */
  std::string address() const;

  /** Takes no more tunnels; the open ones go on. */
  void StopAccepting();
  void Stop();

  std::size_t tunnels() const;
  /** Tunnels whose client may be waiting for an answer or reading one. */
  std::size_t busy_tunnels() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/** What a client and a tunnel_server say to each other before the bytes. */
namespace detail {

constexpr const char* kFramedTunnelRequest = "FRAMES ";
constexpr const char* kUnframedTunnelRequest = "CONNECT ";
constexpr const char* kTunnelOpen = "OK\n";
constexpr const char* kTunnelUnreachable = "UNREACHABLE\n";
constexpr std::size_t kMaxTunnelLine = 512;

}  // namespace detail

}  // namespace gentian

#endif  // GENTIAN_NET_TUNNEL_SERVER_H_
