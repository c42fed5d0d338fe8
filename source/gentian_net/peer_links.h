#ifndef GENTIAN_NET_PEER_LINKS_H_
#define GENTIAN_NET_PEER_LINKS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_net/io_pool.h"

namespace gentian {

/** Settings of the links of one daemon. */
struct peer_link_options {
  /** Name of this daemon. */
  std::string name;
  /** Shared by all daemons. */
  std::string cluster_key;
  milliseconds heartbeat{1'000};
  /** Time without a byte after which a link is replaced. */
  milliseconds silence{3'000};
  /** Time without a message after which a link is closed. */
  milliseconds idle{60'000};
  /** Bytes that may wait on one link; more messages are dropped. */
  std::size_t max_queued_bytes = 32 * 1024 * 1024;
};

/** Links to other daemons. A daemon sends on links that it opened and
    receives on links that others opened, so that two daemons never have to
    agree on one connection. Links are opened on demand; messages that wait
    when a link breaks are lost.
*/
class peer_links {
 public:
  /** Receives messages, on I/O threads; in order for each sender's link. */
  using receiver =
      std::function<void(const std::string& from, std::string message)>;
  /** Receives notes about links for the log. */
  using observer =
      std::function<void(const std::string& peer, const std::string& reason)>;

  peer_links(io_pool& pool,
             peer_link_options options,
             receiver on_message,
             observer on_closed);
  ~peer_links();
  peer_links(const peer_links&) = delete;
  peer_links& operator=(const peer_links&) = delete;

  /** Binds to `ip:port`; port 0 picks a free one. */
  result<success> Bind(const std::string& address);

  /** Takes links. Precondition: Bind succeeded. */
  void Serve();

  /** The address that is listened on, with the real port. */
  std::string address() const;

  /** Sets where the other daemons listen, by name. */
  void SetAddresses(std::map<std::string, std::string> addresses);

  /** Queues a message. Returns false if the daemon is not known or its queue
      is full.
  */
  bool Send(const std::string& to, std::string message);

  /** Closes all links. */
  void Stop();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_NET_PEER_LINKS_H_
