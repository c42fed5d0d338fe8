#ifndef GENTIAN_NET_HTTP_CONNECTION_H_
#define GENTIAN_NET_HTTP_CONNECTION_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

#include "gentian_net/byte_stream.h"
#include "gentian_net/http_server.h"
#include "gentian_net/memory_budget.h"

namespace gentian::detail {

/** One connection of an http_server. Functions may be called from any thread.
 */
class http_connection {
 public:
  virtual ~http_connection() = default;

  virtual void Start() = 0;
  /** Takes no request: answers the first one with an error once its header has
      come. To be called before Start. */
  virtual void RefuseAll(const error& reason) = 0;
  /** Since when the connection has been without a request, or nothing. */
  virtual std::optional<steady_time> idle_since() const = 0;
  /** Ends the connection unless a request comes at once. Until then, it does
      not count as idle. */
  virtual void CloseIfIdle() = 0;
  /** Ends the connection after the answer that is in progress. */
  virtual void Drain() = 0;
  /** Answers a request whose header has come with an error; ends a connection
      without one. */
  virtual void EndReceiving(const error& reason) = 0;
  /** Ends the connection at once. */
  virtual void Stop() = 0;
};

/** What the connections of one server share. */
struct connection_environment {
  explicit connection_environment(memory_budget& budget) : memory(budget) {}

  http_server::handler on_request;
  http_server::refusal_maker make_refusal = [](const http_request&,
                                               const error& reason) {
    return ErrorResponse(reason);
  };
  std::function<std::size_t(const std::string& body)> body_cost =
      [](const std::string&) { return std::size_t{0}; };
  memory_budget& memory;
  /** Replaced as a whole; read through std::atomic_load. */
  std::shared_ptr<const http_server_limits> limits;
  /** Set once the server wants its callers to connect elsewhere. */
  std::atomic<bool> closing{false};
  /** Connections on which a request is answered. */
  mutable std::atomic<std::size_t> busy{0};
};

/** @param on_closed  runs once, when the connection has ended */
std::shared_ptr<http_connection> MakeHttpConnection(
    std::shared_ptr<byte_stream> stream,
    std::shared_ptr<const connection_environment> environment,
    std::function<void()> on_closed);

}  // namespace gentian::detail

#endif  // GENTIAN_NET_HTTP_CONNECTION_H_
