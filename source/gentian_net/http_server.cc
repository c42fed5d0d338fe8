#include "gentian_net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <sstream>
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

}  // namespace

struct http_server::state : std::enable_shared_from_this<state> {
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
      return;
    }
    if (failure) {
      CountRefused(failure.message());
      pause.expires_after(kAcceptPause);
      pause.async_wait([me = shared_from_this()](error_code cancelled) {
        const std::lock_guard<std::mutex> inner(me->mutex);
        if (!cancelled && !me->stopped) {
          me->Accept();
        }
      });
      return;
    }
    // A connection beyond the bound is closed when `socket` is destroyed.
    if (connections.size() <
        std::atomic_load(&environment->limits)->max_connections) {
      AddConnection(std::move(socket));
    } else {
      CountRefused("too many connections are open");
    }
    Accept();
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

  void AddConnection(tcp::socket socket) {
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
    connection->Start();
  }

  std::map<std::uint64_t, std::shared_ptr<detail::http_connection>>
  CloseAcceptor() {
    const std::lock_guard<std::mutex> lock(mutex);
    stopped = true;
    error_code ignored;
    acceptor.close(ignored);
    pause.cancel();
    return connections;
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
  for (const auto& [id, connection] : state_->CloseAcceptor()) {
    connection->Drain();
  }
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
  for (const auto& [id, connection] : state_->CloseAcceptor()) {
    connection->EndReceiving(reason);
  }
}

void http_server::Stop() {
  for (const auto& [id, connection] : state_->CloseAcceptor()) {
    connection->Stop();
  }
}

}  // namespace gentian
