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

/** Opens an acceptor and binds it to `ip:port`; port 0 picks a free one. */
result<success> BindAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                             const std::string& address);

}  // namespace gentian

#endif  // GENTIAN_NET_IP_ENDPOINT_H_
