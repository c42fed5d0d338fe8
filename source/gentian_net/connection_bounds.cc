#include "gentian_net/connection_bounds.h"

#include <algorithm>

#include "gentian_core/process_usage.h"
#include "gentian_net/http_server.h"
#include "gentian_net/tunnel_server.h"

namespace gentian {

namespace {

// Descriptors of the process that are no connections: listeners, timers, logs.
constexpr std::size_t kOwnDescriptors = 32;
// Of the memory of the process, for connections and small messages.
constexpr std::size_t kMemoryShare = 2;
// A connection that holds a message which the account of large messages does
// not count.
constexpr std::size_t kConnectionBytes = 2 * memory_budget::kUncountedBytes;

// Shares of all connections. The rest is for those that the process opens: as
// many as callers have, because each request in progress may need one.
constexpr std::size_t kShares = 32;
constexpr std::size_t kCallerShares = 10;
constexpr std::size_t kPeerShares = 4;
constexpr std::size_t kServiceShares = 1;
constexpr std::size_t kTunnelShares = 3;

}  // namespace

connection_bounds BoundConnections(std::size_t descriptors,
                                   std::size_t memory) {
  const std::size_t most = http_server_limits().max_connections;
  std::size_t all = most * kShares;
  for (const std::size_t bound : {descriptors, DescriptorLimit()}) {
    if (bound > 0) {
      all = std::min(all, bound - std::min(bound, kOwnDescriptors));
    }
  }
  if (memory > 0) {
    all = std::min(all, memory / kMemoryShare / kConnectionBytes);
  }
  const auto share = [all](std::size_t shares, std::size_t bound) {
    return std::clamp<std::size_t>(all * shares / kShares, 1, bound);
  };
  return {share(kCallerShares, most), share(kPeerShares, most),
          share(kServiceShares, most),
          share(kTunnelShares, tunnel_limits().max_tunnels)};
}

}  // namespace gentian
