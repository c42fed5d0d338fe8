/** Network I/O between processes: HTTP server and client (Boost.Beast), links
    between daemons (websocketpp, CBOR), TLS.

    Dependencies: gentian_core, Boost.Asio, Boost.Beast, websocketpp, OpenSSL.
*/
#ifndef GENTIAN_NET_GENTIAN_NET_H_
#define GENTIAN_NET_GENTIAN_NET_H_

#include "gentian_net/connection_bounds.h"
#include "gentian_net/connection_probe.h"
#include "gentian_net/event_stream.h"
#include "gentian_net/http_client.h"
#include "gentian_net/http_message.h"
#include "gentian_net/http_server.h"
#include "gentian_net/io_pool.h"
#include "gentian_net/ip_endpoint.h"
#include "gentian_net/link_authenticator.h"
#include "gentian_net/memory_budget.h"
#include "gentian_net/peer_links.h"
#include "gentian_net/tls_context.h"
#include "gentian_net/tunnel_server.h"

#endif  // GENTIAN_NET_GENTIAN_NET_H_
