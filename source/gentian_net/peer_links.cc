#include "gentian_net/peer_links.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <sstream>
#include <utility>
#include <vector>

#include "gentian_net/ip_endpoint.h"
#include "gentian_net/peer_link.h"

namespace gentian {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using detail::peer_link;

namespace {

constexpr milliseconds kAcceptPause{100};
// Wait before a peer is tried again after a link to it failed.
constexpr milliseconds kReconnectPause{200};

}  // namespace

struct peer_links::state : std::enable_shared_from_this<state> {
  explicit state(io_pool& io) : pool(io), acceptor(io.context()) {}

  struct outgoing {
    std::shared_ptr<peer_link> link;
    std::uint64_t serial = 0;
    steady_time retry_at;
  };

  void Accept() {
    acceptor.async_accept(
        asio::make_strand(pool.context()),
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
      pool.After(kAcceptPause, [me = shared_from_this()] {
        const std::lock_guard<std::mutex> inner(me->mutex);
        if (!me->stopped) {
          me->Accept();
        }
      });
      return;
    }
    const std::uint64_t serial = ++last_serial;
    peer_link::handlers events;
    events.on_message = on_message;
    events.on_closed = [weak = weak_from_this(),
                        serial](const std::string& reason) {
      if (const auto me = weak.lock()) {
        me->IncomingClosed(serial, reason);
      }
    };
    auto link = detail::MakeIncomingLink(
        detail::MakeByteStream(std::move(socket), nullptr), options,
        std::move(events));
    incoming[serial] = link;
    link->Start();
    Accept();
  }

  void IncomingClosed(std::uint64_t serial, const std::string& reason) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      incoming.erase(serial);
    }
    if (!reason.empty()) {
      on_closed("", reason);
    }
  }

  // The open link to a daemon, or a new one. Precondition: locked.
  std::shared_ptr<peer_link> LinkTo(const std::string& name) {
    const auto address = addresses.find(name);
    outgoing& entry = links[name];
    if (entry.link) {
      return entry.link;
    }
    if (stopped || address == addresses.end() ||
        std::chrono::steady_clock::now() < entry.retry_at) {
      return nullptr;
    }
    const std::uint64_t serial = ++last_serial;
    peer_link::handlers events;
    events.on_message = on_message;
    events.on_closed = [weak = weak_from_this(), name,
                        serial](const std::string& reason) {
      if (const auto me = weak.lock()) {
        me->OutgoingClosed(name, serial, reason);
      }
    };
    auto stream = detail::MakeByteStream(
        tcp::socket(asio::make_strand(pool.context())), nullptr);
    entry.serial = serial;
    entry.link = detail::MakeOutgoingLink(std::move(stream), options, name,
                                          address->second, std::move(events));
    entry.link->Start();
    return entry.link;
  }

  void OutgoingClosed(const std::string& name,
                      std::uint64_t serial,
                      const std::string& reason) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      outgoing& entry = links[name];
      if (entry.serial == serial) {
        entry.link.reset();
        entry.retry_at = std::chrono::steady_clock::now() + kReconnectPause;
      }
    }
    if (!reason.empty()) {
      on_closed(name, reason);
    }
  }

  void Stop() {
    std::vector<std::shared_ptr<peer_link>> open;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      stopped = true;
      error_code ignored;
      acceptor.close(ignored);
      for (const auto& [name, entry] : links) {
        if (entry.link) {
          open.push_back(entry.link);
        }
      }
      for (const auto& [serial, link] : incoming) {
        open.push_back(link);
      }
    }
    for (const auto& link : open) {
      link->Stop();
    }
  }

  io_pool& pool;
  tcp::acceptor acceptor;
  peer_link_options options;
  receiver on_message;
  observer on_closed;
  std::mutex mutex;
  bool stopped = false;
  std::uint64_t last_serial = 0;
  std::map<std::string, std::string> addresses;
  std::map<std::string, outgoing> links;
  std::map<std::uint64_t, std::shared_ptr<peer_link>> incoming;
};

peer_links::peer_links(io_pool& pool,
                       peer_link_options options,
                       receiver on_message,
                       observer on_closed)
    : state_(std::make_shared<state>(pool)) {
  state_->options = std::move(options);
  state_->on_message = std::move(on_message);
  state_->on_closed = std::move(on_closed);
}

peer_links::~peer_links() {
  Stop();
}

result<success> peer_links::Bind(const std::string& address) {
  return BindAcceptor(state_->acceptor, address);
}

void peer_links::Serve() {
  state_->Accept();
}

std::string peer_links::address() const {
  error_code ignored;
  std::ostringstream text;
  text << state_->acceptor.local_endpoint(ignored);
  return text.str();
}

void peer_links::SetAddresses(std::map<std::string, std::string> addresses) {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->addresses = std::move(addresses);
}

bool peer_links::Send(const std::string& to, std::string message) {
  std::shared_ptr<peer_link> link;
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    link = state_->LinkTo(to);
  }
  return link && link->Send(std::move(message));
}

void peer_links::Stop() {
  state_->Stop();
}

}  // namespace gentian
