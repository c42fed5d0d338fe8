#ifndef GENTIAN_DAEMON_PEER_EXCHANGE_H_
#define GENTIAN_DAEMON_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <string>

#include "gentian_decisions/gentian_decisions.h"
#include "gentian_net/peer_links.h"

namespace gentian {

/** Sends and receives the messages of a node over peer_links, as CBOR. Each
    message carries the sender's incarnation, because a daemon can register
    anew while a link stays open.
*/
class peer_exchange {
 public:
  using event_sink = std::function<void(event)>;

  /** @param cluster_key  shared by all daemons
      @param sink         receives peer_received, on I/O threads
  */
  peer_exchange(io_pool& pool,
                const host_id& host,
                const std::string& cluster_key,
                event_sink sink);

  /** Binds to `ip:port`; port 0 picks a free one. */
  result<success> Bind(const std::string& address);

  /** Takes links. Precondition: Bind succeeded. */
  void Serve() { links_.Serve(); }

  std::string address() const { return links_.address(); }

  /** Sets where the other daemons listen. */
  void SetAddresses(std::map<std::string, std::string> addresses);

  /** Sends a message if its receiver is known. */
  void Send(const incarnation& self, const send_to_peer& message);

  void Stop() { links_.Stop(); }

 private:
  void Receive(const std::string& from, const std::string& bytes);

  event_sink sink_;
  peer_links links_;
};

/** Reads the key that all daemons share. It must have at least 32 bytes, so
    that it can not be guessed from a recorded handshake.
*/
result<std::string> ReadClusterKey(const std::string& file);

}  // namespace gentian

#endif  // GENTIAN_DAEMON_PEER_EXCHANGE_H_
