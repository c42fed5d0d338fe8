/** Network I/O between processes: HTTP server and client (Boost.Beast), links
    between daemons (websocketpp, CBOR), TLS.

    Dependencies: gentian_core, Boost.Asio, Boost.Beast, websocketpp, OpenSSL.
*/
#ifndef GENTIAN_NET_GENTIAN_NET_H_
#define GENTIAN_NET_GENTIAN_NET_H_

#include "gentian_net/ip_endpoint.h"

#endif  // GENTIAN_NET_GENTIAN_NET_H_
