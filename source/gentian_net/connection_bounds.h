#ifndef GENTIAN_NET_CONNECTION_BOUNDS_H_
#define GENTIAN_NET_CONNECTION_BOUNDS_H_

#include <cstddef>

namespace gentian {

/** How many connections each listener of a process may have open. The sum
    leaves room for the connections that the process opens itself. */
struct connection_bounds {
  std::size_t callers = 0;
  /** Of other hosts of the system. */
  std::size_t peers = 0;
  /** Of each listener that only answers short questions. */
  std::size_t services = 0;
  /** Each takes two descriptors. */
  std::size_t tunnels = 0;
};

/** Shares out what the settings and the host (RLIMIT_NOFILE) allow.

    @param descriptors  that the process may have open; 0 if it is not known
    @param memory       that it may use, in bytes; 0 if it is not known */
connection_bounds BoundConnections(std::size_t descriptors = 0,
                                   std::size_t memory = 0);

}  // namespace gentian

#endif  // GENTIAN_NET_CONNECTION_BOUNDS_H_
