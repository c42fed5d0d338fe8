#include "gentian_net/tunnel_server.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

#include "gentian_net/byte_stream.h"
#include "gentian_net/ip_endpoint.h"
#include "gentian_net/server_probe.h"
#include "gentian_net/tunnel_frames.h"

namespace gentian {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using detail::byte_stream;

namespace {

constexpr std::size_t kReadSize = 16 * 1024;
static_assert(kReadSize <= detail::kMaxTunnelFrame);
constexpr std::chrono::milliseconds kAcceptPause{100};
// After the last byte of an answer, its client may still send a request.
constexpr std::chrono::milliseconds kBusyTime{1'000};

// One tunnel. Runs on the strand of the client's connection, which both
// connections share.
class tunnel : public std::enable_shared_from_this<tunnel> {
 public:
  tunnel(tcp::socket client,
         const tunnel_limits& limits,
         tunnel_server::resolver resolve,
         tunnel_server::connect_handler on_connect,
         std::function<void()> on_closed)
      : client_(detail::MakeByteStream(std::move(client), nullptr)),
        limits_(limits),
        resolve_(std::move(resolve)),
        on_connect_(std::move(on_connect)),
        on_closed_(std::move(on_closed)),
        timer_(client_->executor()) {}

  void Start() {
    asio::post(client_->executor(), [me = shared_from_this()] {
      me->ArmTimer(me->limits_.open_deadline);
      me->ReadLine();
    });
  }

  void Stop() {
    asio::post(client_->executor(), [me = shared_from_this()] { me->Reset(); });
  }

  /** May be called on any thread. */
  bool IsBusy() const {
    const auto since = std::chrono::steady_clock::now().time_since_epoch() -
                       std::chrono::steady_clock::duration(last_byte_);
    return is_open_ && (awaits_answer_ || since < kBusyTime);
  }

 private:
  /** One direction. */
  struct flow {
    /** Space before the bytes, for the beginning of a frame. */
    std::size_t header_size = 0;
    std::array<char, detail::kTunnelFrameHeader + kReadSize> space{};
  };

  void ArmTimer(milliseconds limit) {
    timer_.expires_after(limit);
    timer_.async_wait([me = shared_from_this()](error_code failure) {
      if (!failure) {
        me->Reset();
      }
    });
  }

  void ReadLine() {
    client_->ReadSome(
        asio::buffer(to_server_.space),
        [me = shared_from_this()](error_code failure, std::size_t size) {
          me->OnLine(failure, size);
        });
  }

  void OnLine(error_code failure, std::size_t size) {
    if (failure || closed_) {
      Reset();
      return;
    }
    line_.append(to_server_.space.data(), size);
    const std::size_t end = line_.find('\n');
    if (end == std::string::npos) {
      if (line_.size() > detail::kMaxTunnelLine) {
        Reset();
      } else {
        ReadLine();
      }
      return;
    }
    const std::string framed = detail::kFramedTunnelRequest;
    const std::string unframed = detail::kUnframedTunnelRequest;
    is_framed_ = line_.rfind(framed, 0) == 0;
    // A client sends nothing else before it has read the answer.
    if ((!is_framed_ && line_.rfind(unframed, 0) != 0) ||
        end + 1 != line_.size()) {
      Reset();
      return;
    }
    if (is_framed_) {
      to_client_.header_size = detail::kTunnelFrameHeader;
    }
    const std::size_t start = is_framed_ ? framed.size() : unframed.size();
    Open(line_.substr(start, end - start));
  }

  void Open(std::string name) {
    name_ = std::move(name);
    const result<std::string> address = resolve_(name_);
    if (Failed(address)) {
      Refuse(ErrorOf(address).message + "\n");
      return;
    }
    const auto endpoint = ParseEndpoint(ValueOf(address));
    if (Failed(endpoint)) {
      Refuse(ErrorOf(endpoint).message + "\n");
      return;
    }
    server_ = detail::MakeByteStream(tcp::socket(client_->executor()), nullptr);
    timer_.expires_after(limits_.connect_limit);
    timer_.async_wait([me = shared_from_this()](error_code failure) {
      if (!failure && !me->is_open_ && !me->closed_) {
        // The connection handler runs next.
        me->server_->Close();
      }
    });
    server_endpoint_ = ValueOf(endpoint);
    server_->Connect(server_endpoint_,
                     [me = shared_from_this()](error_code failure) {
                       me->OnConnected(failure);
                     });
  }

  void OnConnected(error_code failure) {
    if (closed_) {
      return;
    }
    if (on_connect_) {
      on_connect_(name_, !failure);
    }
    if (failure) {
      Refuse(detail::kTunnelUnreachable);
      return;
    }
    is_open_ = true;
    Touch(false);
    client_->Write(
        asio::buffer(detail::kTunnelOpen, 3),
        [me = shared_from_this()](error_code write_failure, std::size_t) {
          if (write_failure) {
            me->Reset();
            return;
          }
          me->Copy(*me->client_, *me->server_, me->to_server_);
          me->Copy(*me->server_, *me->client_, me->to_client_);
        });
  }

  void Refuse(std::string line) {
    ArmTimer(limits_.open_deadline);
    line_ = std::move(line);
    client_->Write(
        asio::buffer(line_),
        [me = shared_from_this()](error_code, std::size_t) { me->Close(); });
  }

  void Touch(bool awaits_answer) {
    awaits_answer_ = awaits_answer;
    last_byte_ = std::chrono::steady_clock::now().time_since_epoch().count();
    ArmTimer(limits_.idle_deadline);
  }

  void Copy(byte_stream& from, byte_stream& to, flow& direction) {
    from.ReadSome(
        asio::buffer(direction.space.data() + direction.header_size, kReadSize),
        [me = shared_from_this(), &from, &to, &direction](error_code failure,
                                                          std::size_t size) {
          me->OnRead(from, to, direction, failure, size);
        });
  }

  void OnRead(byte_stream& from,
              byte_stream& to,
              flow& direction,
              error_code failure,
              std::size_t size) {
    if (closed_) {
      return;
    }
    if (failure) {
      // An answer may end with its connection. A client that has gone wants no
      // answer any more.
      if (failure == asio::error::eof && &from == server_.get()) {
        EndAnswer();
      } else {
        Reset();
      }
      return;
    }
    if (&from == client_.get() && has_answer_ended_) {
      Copy(from, to, direction);
      return;
    }
    Touch(&from == client_.get());
    if (direction.header_size > 0) {
      const detail::tunnel_frame_header header =
          detail::EncodeTunnelFrame(size);
      std::copy(header.begin(), header.end(), direction.space.begin());
    }
    to.Write(asio::buffer(direction.space.data(), direction.header_size + size),
             [me = shared_from_this(), &from, &to, &direction](
                 error_code write_failure, std::size_t) {
               const bool is_dropped =
                   &to == me->server_.get() && me->has_answer_ended_;
               if (write_failure && !is_dropped) {
                 me->Reset();
               } else if (!me->closed_) {
                 me->Copy(from, to, direction);
               }
             });
  }

  // The client reads the end and closes. What it sends meanwhile is dropped: a
  // reset would overtake the answer.
  void EndAnswer() {
    awaits_answer_ = false;
    has_answer_ended_ = true;
    server_->Close();
    if (!is_framed_) {
      client_->ShutdownSend();
      return;
    }
    detail::ProbeServer(
        client_->executor(), server_endpoint_,
        [me = shared_from_this()](detail::server_state state,
                                  const std::shared_ptr<byte_stream>&) {
          if (me->closed_) {
            return;
          }
          if (state == detail::server_state::ended) {
            // Without the mark, an answer that has no length is not whole.
            me->client_->ShutdownSend();
          } else {
            me->MarkEnd();
          }
        });
  }

  void MarkEnd() {
    end_mark_ = detail::EncodeTunnelFrame(0);
    client_->Write(asio::buffer(end_mark_),
                   [me = shared_from_this()](error_code failure, std::size_t) {
                     if (failure) {
                       me->Reset();
                     } else if (!me->closed_) {
                       me->client_->ShutdownSend();
                     }
                   });
  }

  // Both connections end with a reset, so that no half of an answer looks
  // whole.
  void Reset() {
    if (!closed_) {
      client_->CloseWithReset();
      if (server_) {
        server_->CloseWithReset();
      }
    }
    Close();
  }

  void Close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    is_open_ = false;
    timer_.cancel();
    client_->Close();
    if (server_) {
      server_->Close();
    }
    const auto on_closed = std::exchange(on_closed_, nullptr);
    on_closed();
  }

  std::shared_ptr<byte_stream> client_;
  std::shared_ptr<byte_stream> server_;
  const tunnel_limits limits_;
  tunnel_server::resolver resolve_;
  tunnel_server::connect_handler on_connect_;
  std::string name_;
  tcp::endpoint server_endpoint_;
  std::function<void()> on_closed_;
  asio::steady_timer timer_;
  std::string line_;
  flow to_server_;
  flow to_client_;
  /** The server's bytes are sent in frames. */
  bool is_framed_ = false;
  detail::tunnel_frame_header end_mark_{};
  /** The server has ended its side in order. */
  bool has_answer_ended_ = false;
  bool closed_ = false;
  std::atomic<bool> is_open_{false};
  std::atomic<bool> awaits_answer_{false};
  std::atomic<std::chrono::steady_clock::rep> last_byte_{0};
};

}  // namespace

struct tunnel_server::state : std::enable_shared_from_this<state> {
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
      pause.expires_after(kAcceptPause);
      pause.async_wait([me = shared_from_this()](error_code cancelled) {
        const std::lock_guard<std::mutex> inner(me->mutex);
        if (!cancelled && !me->stopped) {
          me->Accept();
        }
      });
      return;
    }
    if (tunnels.size() < limits.max_tunnels) {
      const std::uint64_t id = ++last_id;
      tunnels[id] = std::make_shared<tunnel>(
          std::move(socket), limits, resolve, on_connect,
          [weak = weak_from_this(), id] {
            if (const auto me = weak.lock()) {
              const std::lock_guard<std::mutex> inner(me->mutex);
              me->tunnels.erase(id);
            }
          });
      tunnels[id]->Start();
    }
    Accept();
  }

  void CloseAcceptor() {
    const std::lock_guard<std::mutex> lock(mutex);
    stopped = true;
    error_code ignored;
    acceptor.close(ignored);
    pause.cancel();
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer pause;
  resolver resolve;
  connect_handler on_connect;
  tunnel_limits limits;
  mutable std::mutex mutex;
  bool stopped = false;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, std::shared_ptr<tunnel>> tunnels;
};

tunnel_server::tunnel_server(io_pool& pool,
                             resolver resolve,
                             connect_handler on_connect,
                             tunnel_limits limits)
    : state_(std::make_shared<state>(pool.context())) {
  state_->resolve = std::move(resolve);
  state_->on_connect = std::move(on_connect);
  state_->limits = limits;
}

tunnel_server::~tunnel_server() {
  Stop();
}

result<success> tunnel_server::Listen(const std::string& address) {
  result<success> bound = BindAcceptor(state_->acceptor, address);
  if (!Failed(bound)) {
    state_->Accept();
  }
  return bound;
}

std::string tunnel_server::address() const {
  error_code ignored;
  std::ostringstream text;
  text << state_->acceptor.local_endpoint(ignored);
  return text.str();
}

void tunnel_server::StopAccepting() {
  state_->CloseAcceptor();
}

void tunnel_server::Stop() {
  state_->CloseAcceptor();
  const std::lock_guard<std::mutex> lock(state_->mutex);
  for (const auto& [id, tunnel] : state_->tunnels) {
    tunnel->Stop();
  }
}

std::size_t tunnel_server::tunnels() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->tunnels.size();
}

std::size_t tunnel_server::busy_tunnels() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  std::size_t busy = 0;
  for (const auto& [id, tunnel] : state_->tunnels) {
    busy += tunnel->IsBusy() ? 1 : 0;
  }
  return busy;
}

}  // namespace gentian
