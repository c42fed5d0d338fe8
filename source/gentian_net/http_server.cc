#include "gentian_net/http_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

#include "gentian_net/http_connection.h"
#include "gentian_net/ip_endpoint.h"

namespace gentian {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Pause after a failed accept, which usually means that no file descriptor is
// free: accepting again at once would fail the same way in a busy loop.
constexpr std::chrono::milliseconds kAcceptPause{100};
constexpr std::chrono::seconds kReportInterval{1};
// Of the places for connections, for those that are being closed and for those
// whose request is refused.
constexpr std::size_t kSpareShare = 4;
constexpr const char* kNoPlace = "too many connections are open";
constexpr milliseconds kRetryAfter{1'000};
constexpr std::size_t kDiscardSize = 4 * 1024;
constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";

error NoPlace() {
  return error{error_kind::overloaded, kNoPlace, "send the request again later",
               call_outcome::not_run, kRetryAfter};
}

}  // namespace

struct http_server::state : std::enable_shared_from_this<state> {
  using end_function = std::function<void(detail::http_connection&)>;

  explicit state(asio::io_context& io) : context(io), acceptor(io), pause(io) {}

  void Accept() {
    acceptor.async_accept(
        asio::make_strand(context),
        [me = shared_from_this()](error_code failure, tcp::socket socket) {
          me->OnAccept(failure, std::move(socket));
        });
  }

  void OnAccept(error_code failure, tcp::socket socket) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (stopped) {
      // It was accepted just before.
      if (!failure) {
        AddEnding(std::move(socket));
      }
      return;
    }
    if (failure) {
      CountRefused(failure.message());
      CloseLongestIdle();
      pause.expires_after(kAcceptPause);
      pause.async_wait([me = shared_from_this()](error_code cancelled) {
        const std::lock_guard<std::mutex> inner(me->mutex);
        if (!cancelled && !me->stopped) {
          me->Accept();
        }
      });
      return;
    }
    Place(std::move(socket));
    Accept();
  }

  // Returns nothing if there is not even room for a refusal that is sent in
  // order.
  std::shared_ptr<detail::http_connection> Place(tcp::socket socket) {
    const std::size_t most =
        std::atomic_load(&environment->limits)->max_connections;
    if (connections.size() >= most) {
      CountRefused(kNoPlace);
      RefuseAtOnce(socket);
      return nullptr;
    }
    if (connections.size() < most - most / kSpareShare || CloseLongestIdle()) {
      return AddConnection(std::move(socket), std::nullopt);
    }
    CountRefused(kNoPlace);
    return AddConnection(std::move(socket), NoPlace());
  }

  // What has come of the request is read, so that the caller reads an answer
  // and no reset.
  void RefuseAtOnce(tcp::socket& socket) const {
    if (tls) {
      return;
    }
    error_code ignored;
    std::array<char, kDiscardSize> request{};
    socket.non_blocking(true, ignored);
    socket.read_some(asio::buffer(request), ignored);
    socket.write_some(asio::buffer(kRefusal.data(), kRefusal.size()), ignored);
    socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  // Returns false if all connections are in use.
  bool CloseLongestIdle() {
    detail::http_connection* longest = nullptr;
    steady_time since = steady_time::max();
    for (const auto& [id, connection] : connections) {
      const std::optional<steady_time> idle_since = connection->idle_since();
      if (idle_since && *idle_since < since) {
        longest = connection.get();
        since = *idle_since;
      }
    }
    if (longest == nullptr) {
      return false;
    }
    longest->CloseIfIdle();
    return true;
  }

  void CountRefused(std::string reason) {
    ++refused.total;
    refused.reason = std::move(reason);
    const auto now = std::chrono::steady_clock::now();
    if (on_refused && now - last_report >= kReportInterval) {
      last_report = now;
      on_refused(refused);
    }
  }

  std::shared_ptr<detail::http_connection> AddConnection(
      tcp::socket socket,
      const std::optional<error>& refusal) {
    const std::uint64_t id = ++last_id;
    auto stream = detail::MakeByteStream(std::move(socket),
                                         tls ? tls->current() : nullptr);
    auto connection = detail::MakeHttpConnection(
        std::move(stream), environment, [weak = weak_from_this(), id] {
          if (const auto me = weak.lock()) {
            const std::lock_guard<std::mutex> lock(me->mutex);
            me->connections.erase(id);
            me->emptied.notify_all();
          }
        });
    connections[id] = connection;
    if (refusal) {
      connection->RefuseAll(*refusal);
    }
    connection->Start();
    return connection;
  }

  void AddEnding(tcp::socket socket) {
    const auto connection = end ? Place(std::move(socket)) : nullptr;
    if (connection) {
      end(*connection);
    }
  }

  // Ends all connections in order, and those that were not handled yet.
  void EndConnections(end_function how) {
    const std::lock_guard<std::mutex> lock(mutex);
    stopped = true;
    end = std::move(how);
    for (const auto& [id, connection] : connections) {
      end(*connection);
    }
    TakeQueued();
    CloseAcceptor();
  }

  void StopConnections() {
    const std::lock_guard<std::mutex> lock(mutex);
    stopped = true;
    end = nullptr;
    for (const auto& [id, connection] : connections) {
      connection->Stop();
    }
    CloseAcceptor();
  }

  void CloseAcceptor() {
    error_code ignored;
    acceptor.close(ignored);
    pause.cancel();
  }

  // Closing the acceptor would reset what waits in the queue of the kernel,
  // whose callers may have sent their requests.
  void TakeQueued() {
    error_code failure;
    acceptor.non_blocking(true, failure);
    for (int i = 0; i < asio::socket_base::max_listen_connections && !failure;
         ++i) {
      tcp::socket socket(asio::make_strand(context));
      acceptor.accept(socket, failure);
      if (!failure) {
        AddEnding(std::move(socket));
      }
    }
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer pause;
  std::shared_ptr<tls_context> tls;
  std::shared_ptr<detail::connection_environment> environment;
  std::mutex mutex;
  std::condition_variable emptied;
  bool stopped = false;
  refused_connections refused;
  std::function<void(const refused_connections&)> on_refused;
  std::chrono::steady_clock::time_point last_report;
  /** How connections that are accepted late end; nullptr to close them. */
  end_function end;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, std::shared_ptr<detail::http_connection>> connections;
};

http_server::http_server(io_pool& pool,
                         handler on_request,
                         http_server_limits limits,
                         std::shared_ptr<tls_context> tls)
    : state_(std::make_shared<state>(pool.context())) {
  state_->tls = std::move(tls);
  state_->environment =
      std::make_shared<detail::connection_environment>(pool.message_memory());
  state_->environment->on_request = std::move(on_request);
  SetLimits(limits);
}

http_server::~http_server() {
  Stop();
}

void http_server::SetLimits(const http_server_limits& limits) {
  std::atomic_store(&state_->environment->limits,
                    std::make_shared<const http_server_limits>(limits));
}

void http_server::SetRefusalMaker(refusal_maker make) {
  state_->environment->make_refusal = std::move(make);
}

void http_server::SetBodyCost(
    std::function<std::size_t(const std::string& body)> cost) {
  state_->environment->body_cost = std::move(cost);
}

void http_server::SetRefusalObserver(
    std::function<void(const refused_connections& refused)> observer) {
  state_->on_refused = std::move(observer);
}

result<success> http_server::Bind(const std::string& address) {
  return BindAcceptor(state_->acceptor, address);
}

bool http_server::is_bound() const {
  return state_->acceptor.is_open();
}

void http_server::Serve() {
  state_->Accept();
}

result<success> http_server::Listen(const std::string& address) {
  result<success> bound = Bind(address);
  if (!Failed(bound)) {
    Serve();
  }
  return bound;
}

std::string http_server::address() const {
  error_code ignored;
  std::ostringstream text;
  text << state_->acceptor.local_endpoint(ignored);
  return text.str();
}

void http_server::CloseAfterAnswers() {
  state_->environment->closing = true;
}

bool http_server::WaitUntilIdle(milliseconds limit) {
  std::unique_lock<std::mutex> lock(state_->mutex);
  return state_->emptied.wait_for(
      lock, limit, [this] { return state_->connections.empty(); });
}

void http_server::StopAccepting() {
  state_->EndConnections(
      [](detail::http_connection& connection) { connection.Drain(); });
}

std::size_t http_server::open_connections() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->connections.size();
}

std::uint64_t http_server::refused_connections_total() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->refused.total;
}

std::size_t http_server::busy_connections() const {
  return state_->environment->busy;
}

void http_server::EndReceiving(const error& reason) {
  state_->EndConnections([reason](detail::http_connection& connection) {
    connection.EndReceiving(reason);
  });
}

void http_server::Stop() {
  state_->StopConnections();
}

}  // namespace gentian
