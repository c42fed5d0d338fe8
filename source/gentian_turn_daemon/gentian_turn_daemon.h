/** The daemon of a host with a disk: keeps turns for the gateways and restores
    copies that other hosts have lost.

    Dependencies: gentian_turn_storage, gentian_gateway_daemon.
*/
#ifndef GENTIAN_TURN_DAEMON_GENTIAN_TURN_DAEMON_H_
#define GENTIAN_TURN_DAEMON_GENTIAN_TURN_DAEMON_H_

#include "gentian_turn_daemon/turn_store_daemon.h"
#include "gentian_turn_daemon/turn_store_settings.h"

#endif  // GENTIAN_TURN_DAEMON_GENTIAN_TURN_DAEMON_H_
