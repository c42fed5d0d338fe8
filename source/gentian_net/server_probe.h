#ifndef GENTIAN_NET_SERVER_PROBE_H_
#define GENTIAN_NET_SERVER_PROBE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "gentian_net/byte_stream.h"

namespace gentian::detail {

/** What a new connection to a server tells about its process. */
enum class server_state {
  /** It takes connections. */
  runs,
  /** It takes none: its process has ended. */
  ended,
  /** It can't be reached, and may go on. */
  unknown,
};

/** Connects again to a server that has closed a connection. The connections of
    a process that is killed end in order, as those of one that has answered.

    @param executor  a strand
    @param on_done   runs there once, with the new connection if there is one */
void ProbeServer(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& server,
    std::function<void(server_state state,
                       std::shared_ptr<byte_stream> connection)> on_done);

}  // namespace gentian::detail

#endif  // GENTIAN_NET_SERVER_PROBE_H_
