#ifndef GENTIAN_NET_HTTP_CLIENT_H_
#define GENTIAN_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gentian_net/http_message.h"
#include "gentian_net/io_pool.h"
#include "gentian_net/tls_context.h"

namespace gentian {

/** How a request failed. */
enum class http_failure {
  /** No byte of the request left this host. */
  not_sent,
  /** As not_sent: the sender no longer wants it. */
  not_wanted,
  /** As not_sent: the tunnel server could not be reached, or refused. */
  no_tunnel,
  /** The connection broke after bytes may have been sent. */
  broken,
  /** No byte came for the silence limit. */
  silent,
  /** The deadline passed after bytes may have been sent. */
  deadline,
  /** The answer takes more memory than the process has for it. */
  no_memory,
};

/** A request to send. */
struct http_client_request {
  /** `ip:port`. */
  std::string address;
  /** `ip:port` of a tunnel_server that connects to the server; empty for a
      direct connection. */
  std::string tunnel;
  /** Name by which the tunnel server knows the server. */
  std::string tunnel_name;
  /** The tunnel server is of a build that knows no frames. An answer that ends
      with its connection then counts as broken: the end may be that of the
      tunnel server. */
  bool is_tunnel_unframed = false;
  std::string method = "GET";
  std::string target = "/";
  http_headers headers;
  std::string body;
  /** Sent in place of `body` if set. Attempts at several servers share it. */
  std::shared_ptr<const std::string> shared_body;
  milliseconds deadline{30'000};
  /** Longest time to connect, within the deadline; 0 for no such limit. */
  milliseconds connect_limit{0};
  /** Longest time without a byte of the answer; 0 for no such limit. */
  milliseconds silence{0};
  /** True if an open connection may be used again. A server can close such a
      connection just when the request is sent; the request then fails as
      `broken`, except that a GET is sent again on a new connection unless
      `send_once` is set.
  */
  bool reuse_connection = false;
  /** The request is never sent a second time. */
  bool send_once = false;
  /** An answer that ends with its connection counts as broken if the server
      takes no connections any more: those of a process that is killed end in
      order, too. Through a tunnel, the tunnel server sees to this. */
  bool confirm_end = false;
  std::size_t max_header_bytes = 64 * 1024;
  std::size_t max_body_bytes = 64 * 1024 * 1024;
};

/** Receives an answer. Exactly one of on_end and on_failure runs, last. All
    run on I/O threads, one after the other.
*/
struct http_client_handlers {
  std::function<void(int status, const http_headers& headers)> on_header;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void()> on_end;
  std::function<void(http_failure failure, const std::string& message)>
      on_failure;
  /** Tells whether an answer belongs to the request. One that doesn't is read
      and dropped, and the next one on the connection is awaited. Without it,
      every answer belongs to the request.

      @param is_first  nothing was sent or read on the connection before */
  std::function<bool(int status, const http_headers& headers, bool is_first)>
      is_own = nullptr;
  /** Asked before the request is written on a new connection, which may have
      taken a while to open. False ends the request as not_wanted. */
  std::function<bool()> is_wanted = nullptr;
  /** Tells how many bytes of the answer the receiver holds, after each on_body.
      Without it, none. */
  std::function<std::size_t()> held = nullptr;
};

/** A request in progress. */
class http_call {
 public:
  virtual ~http_call() = default;

  /** Closes the connection. No handler starts after the strand has seen it.
   */
  virtual void Cancel() = 0;

  /** Closes the connection at the end of the answer, in place of keeping it for
      another request. Called from a handler. */
  virtual void CloseAfterAnswer() = 0;

  /** Takes no more of the answer. Its rest is read and dropped, so that the
      connection can be kept for another request, unless the rest is long or
      slow. No handler starts any more. Called from a handler. */
  virtual void Discard() = 0;
};

/** An HTTP/1.1 client that keeps connections open for reuse. */
class http_client {
 public:
  /** @param tls  nothing for plain HTTP */
  explicit http_client(io_pool& pool,
                       std::shared_ptr<tls_context> tls = nullptr);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /** Starts a request. */
  std::shared_ptr<http_call> Send(http_client_request request,
                                  http_client_handlers handlers);

  /** Starts a request and collects the whole answer. */
  std::shared_ptr<http_call> Fetch(
      http_client_request request,
      std::function<void(http_response)> on_answer,
      std::function<void(http_failure, const std::string&)> on_failure);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_NET_HTTP_CLIENT_H_
