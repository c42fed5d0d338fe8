#ifndef GENTIAN_NET_HTTP_SERVER_H_
#define GENTIAN_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gentian_net/event_stream.h"
#include "gentian_net/http_message.h"
#include "gentian_net/io_pool.h"
#include "gentian_net/tls_context.h"

namespace gentian {

/** One request and the answer to it. All functions may be called from any
    thread; calls after the end of the answer have no effect.
*/
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  virtual const http_request& request() const = 0;

  /** Sends the whole answer. */
  virtual void Respond(http_response answer) = 0;

  /** Starts an answer of server-sent events. A comment line follows in every
      second in which there is no event.
  */
  virtual void StartEvents(http_headers headers) = 0;

  /** Sends one event. Precondition: StartEvents was called. */
  virtual void SendEvent(const stream_event& event) = 0;

  /** Starts an answer of unknown length, for protocols that stream JSON. */
  virtual void StartChunks(http_headers headers) = 0;

  /** Sends a part of such an answer. Precondition: StartChunks was called. */
  virtual void SendChunk(std::string text) = 0;

  /** Ends an answer that was started by StartEvents or StartChunks. */
  virtual void EndStream() = 0;

  /** Closes the connection without an answer, or in the middle of one. */
  virtual void Abort() = 0;

  /** Sets what runs when the connection is lost before the answer ended. */
  virtual void SetDisconnectHandler(std::function<void()> handler) = 0;
};

/** Bounds of a server. */
struct http_server_limits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  /** Time for the header of a request to arrive, from its first byte. */
  milliseconds header_deadline{10'000};
  /** Time for one request to arrive, from the end of its header. */
  milliseconds receive_deadline{30'000};
  /** Time that a connection without a request stays open. */
  milliseconds idle_deadline{75'000};
  /** Time without progress after which a reader counts as gone. */
  milliseconds send_deadline{30'000};
  /** Bytes that may wait for a slow reader. */
  std::size_t max_unsent_bytes = 16 * 1024 * 1024;
  /** Beyond three quarters of it, the longest idle connection is closed for a
      new one; if none is idle, the request on the new one is refused. */
  std::size_t max_connections = 10'000;
};

/** Connections that a server could not take. */
struct refused_connections {
  /** Since the server exists. */
  std::uint64_t total = 0;
  /** Why the last one was refused. */
  std::string reason;
};

/** An HTTP/1.1 server with keep-alive, server-sent events and optional TLS. */
class http_server {
 public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;
  /** Makes the answer to a request that is refused before it was received as a
      whole. Its header is empty if that has not come. */
  using refusal_maker =
      std::function<http_response(const http_request& begin, const error&)>;

  /** @param tls  nothing for plain HTTP
      @param on_request  runs on I/O threads
  */
  http_server(io_pool& pool,
              handler on_request,
              http_server_limits limits = {},
              std::shared_ptr<tls_context> tls = nullptr);
  /** Closes all connections. */
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /** Sets the bounds of new connections, of requests that arrive from now on
      and of connections that become idle. */
  void SetLimits(const http_server_limits& limits);

  /** Replaces ErrorResponse for refused requests. Precondition: the server does
      not listen yet. */
  void SetRefusalMaker(refusal_maker make);

  /** Tells what the handler makes of a body, so that it is counted before a
      request runs; nothing beside the body itself by default. Precondition: the
      server does not listen yet.

      @param cost  memory that a body takes once it is read, in bytes */
  void SetBodyCost(std::function<std::size_t(const std::string& body)> cost);

  /** @param observer  runs on an I/O thread when connections are refused, at
                       most once a second; must not use the server.
                       Precondition: the server does not listen yet. */
  void SetRefusalObserver(
      std::function<void(const refused_connections& refused)> observer);

  /** Binds to `ip:port`; port 0 picks a free one. Connections wait until
      Serve is called.
  */
  result<success> Bind(const std::string& address);
  bool is_bound() const;

  /** Takes connections. Precondition: Bind succeeded. */
  void Serve();

  /** Binds and serves. */
  result<success> Listen(const std::string& address);

  /** The address that is listened on, with the real port. */
  std::string address() const;

  /** From now on ends each connection after the next answer on it, so that
      callers connect elsewhere. New connections are still taken.
  */
  void CloseAfterAnswers();

  /** Waits until no connection is open. Returns false at the limit. */
  bool WaitUntilIdle(milliseconds limit);

  /** Takes no new connections and ends each open one after the answer that is
      being sent on it.
  */
  void StopAccepting();

  std::size_t open_connections() const;

  /** Connections that were refused since the server exists. */
  std::uint64_t refused_connections_total() const;

  /** Connections on which a request is answered, or its answer is still being
      written. */
  std::size_t busy_connections() const;

  /** Answers requests whose header has come, but not their body, with an error,
      and closes the other connections on which nothing is answered. */
  void EndReceiving(const error& reason);

  /** Closes everything at once. */
  void Stop();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_NET_HTTP_SERVER_H_
