#ifndef GENTIAN_NET_CONNECTION_PROBE_H_
#define GENTIAN_NET_CONNECTION_PROBE_H_

#include <functional>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_net/io_pool.h"

namespace gentian {

/** Opens a TCP connection to `ip:port` and closes it again.

    @param handler  receives whether it was opened within the limit; runs once,
                    on an I/O thread */
void ProbeConnection(io_pool& pool,
                     const std::string& address,
                     milliseconds limit,
                     std::function<void(bool)> handler);

}  // namespace gentian

#endif  // GENTIAN_NET_CONNECTION_PROBE_H_
