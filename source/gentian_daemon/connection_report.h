#ifndef GENTIAN_DAEMON_CONNECTION_REPORT_H_
#define GENTIAN_DAEMON_CONNECTION_REPORT_H_

#include <cstddef>
#include <functional>
#include <string>

#include "gentian_daemon/daemon_metrics.h"
#include "gentian_net/http_server.h"

namespace gentian {

/** Logs connections that a server can't take, at most one line a second.
    Precondition: the server does not listen yet.

    @param listener  its name in logs and metrics */
void LogRefusedConnections(http_server& server, const std::string& listener);

/** Counts requests that a server refuses before they have come as a whole in
    `refused_unread.LISTENER.REASON`, and logs them. Precondition: the server
    does not listen yet.

    @param count  adds one to a counter; runs on an I/O thread */
void ReportUnreadRequests(
    http_server& server,
    const std::string& listener,
    std::function<void(const std::string& counter)> count);

/** Sets the gauges of the connections of one server. */
void ReportConnections(daemon_metrics& metrics,
                       const http_server& server,
                       const std::string& listener);

/** Sets the gauges of the descriptors and the memory of this process, and of
    their bounds.

    @param memory       that it may use, in bytes; 0 if it is not known
    @param descriptors  that it may have open; 0 if it is not known */
void ReportProcessUsage(daemon_metrics& metrics,
                        std::size_t memory,
                        std::size_t descriptors);

}  // namespace gentian

#endif  // GENTIAN_DAEMON_CONNECTION_REPORT_H_
