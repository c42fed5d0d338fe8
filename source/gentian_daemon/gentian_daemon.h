/** The daemon: a supervisor tree that carries out the commands of a node, the
    callers' and administration interfaces, logs and metrics.

    Dependencies: all other modules, Boost.Accumulators.
*/
#ifndef GENTIAN_DAEMON_GENTIAN_DAEMON_H_
#define GENTIAN_DAEMON_GENTIAN_DAEMON_H_

#include "gentian_daemon/admin_api.h"
#include "gentian_daemon/admin_call.h"
#include "gentian_daemon/caller_api.h"
#include "gentian_daemon/connection_report.h"
#include "gentian_daemon/credential_filter.h"
#include "gentian_daemon/daemon.h"
#include "gentian_daemon/daemon_file.h"
#include "gentian_daemon/daemon_metrics.h"
#include "gentian_daemon/daemon_options.h"
#include "gentian_daemon/decision_loop.h"
#include "gentian_daemon/latency_distribution.h"
#include "gentian_daemon/latency_recorder.h"
#include "gentian_daemon/peer_exchange.h"
#include "gentian_daemon/supervisor.h"
#include "gentian_daemon/version.h"

#endif  // GENTIAN_DAEMON_GENTIAN_DAEMON_H_
