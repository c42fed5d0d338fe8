#ifndef GENTIAN_NET_IP_ENDPOINT_H_
#define GENTIAN_NET_IP_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Parses `ip:port` or `[ipv6]:port`. Host names are not accepted: hosts are
    addressed by IP only.
*/
result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text);

/** Bytes that the kernel buffers for a connection until they are read; without
    a bound, it lets them grow to megabytes. They count as memory of the
    process. Enough for 180 Mbit/s over a round trip of 3 ms. */
constexpr int kReceiveBufferSize = 64 * 1024;

/** Opens an acceptor and binds it to `ip:port`; port 0 picks a free one. */
result<success> BindAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                             const std::string& address);

}  // namespace gentian

#endif  // GENTIAN_NET_IP_ENDPOINT_H_
