#ifndef GENTIAN_NET_PEER_LINK_H_
#define GENTIAN_NET_PEER_LINK_H_

#include <functional>
#include <memory>
#include <string>

#include "gentian_net/byte_stream.h"
#include "gentian_net/peer_links.h"

namespace gentian::detail {

/** One connection between two daemons, in either role. Functions may be
    called from any thread; handlers run on the connection's strand.
*/
class peer_link {
 public:
  struct handlers {
    std::function<void(const std::string& from, std::string message)>
        on_message;
    /** Runs once. The reason is empty for an ordinary end. */
    std::function<void(const std::string& reason)> on_closed;
  };

  virtual ~peer_link() = default;

  virtual void Start() = 0;
  /** Queues a message, also before the link is open. Returns false if the
      queue is full.
  */
  virtual bool Send(std::string message) = 0;
  virtual void Stop() = 0;
};

/** The end that connects. Sends only messages of this daemon. */
std::shared_ptr<peer_link> MakeOutgoingLink(std::shared_ptr<byte_stream> stream,
                                            const peer_link_options& options,
                                            const std::string& peer_name,
                                            const std::string& address,
                                            peer_link::handlers events);

/** The end that is connected to. Receives messages of the other daemon. */
std::shared_ptr<peer_link> MakeIncomingLink(std::shared_ptr<byte_stream> stream,
                                            const peer_link_options& options,
                                            peer_link::handlers events);

}  // namespace gentian::detail

#endif  // GENTIAN_NET_PEER_LINK_H_
