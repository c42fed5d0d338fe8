/** The gateway daemon: executes the decisions of gentian_gateway with the
    servers and clients of gentian_net and the formats of a gateway_protocol.

    Dependencies: gentian_gateway, gentian_daemon, gentian_adapters.
*/
#ifndef GENTIAN_GATEWAY_DAEMON_GENTIAN_GATEWAY_DAEMON_H_
#define GENTIAN_GATEWAY_DAEMON_GENTIAN_GATEWAY_DAEMON_H_

#include "gentian_gateway_daemon/gateway_daemon.h"
#include "gentian_gateway_daemon/gateway_protocol.h"
#include "gentian_gateway_daemon/gateway_settings.h"

#endif  // GENTIAN_GATEWAY_DAEMON_GENTIAN_GATEWAY_DAEMON_H_
