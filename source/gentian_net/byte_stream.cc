#include "gentian_net/byte_stream.h"

#include <netinet/tcp.h>
#include <poll.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

#include "gentian_net/ip_endpoint.h"

namespace gentian::detail {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Time without an acknowledgement after which a connection counts as lost. A
// peer that lost power or whose path was cut does not reset its connections.
constexpr int kUnacknowledgedLimitMs = 2'000;
using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

template <typename Stream>
tcp::socket& SocketOf(Stream& stream) {
  if constexpr (std::is_same_v<Stream, tcp::socket>) {
    return stream;
  } else {
    return stream.next_layer();
  }
}

template <typename Stream>
class stream_holder : public byte_stream {
 public:
  template <typename... Arguments>
  explicit stream_holder(std::shared_ptr<asio::ssl::context> tls,
                         Arguments&&... arguments)
      : tls_(std::move(tls)), stream_(std::forward<Arguments>(arguments)...) {}

  void Connect(const tcp::endpoint& endpoint, done_handler handler) override {
    peer_address_ = endpoint.address().to_string();
    boost::system::error_code ignored;
    // The window is agreed on with the first packet.
    SocketOf(stream_).open(endpoint.protocol(), ignored);
    SocketOf(stream_).set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferSize), ignored);
    SocketOf(stream_).async_connect(endpoint,
                                    [this, handler = std::move(handler)](
                                        boost::system::error_code failure) {
                                      if (!failure) {
                                        SetOptions();
                                      }
                                      handler(failure);
                                    });
  }

  void Handshake(bool as_server, done_handler handler) override {
    if constexpr (std::is_same_v<Stream, tcp::socket>) {
      asio::post(executor(), [handler = std::move(handler)] {
        handler(boost::system::error_code());
      });
    } else {
      if (!as_server) {
        // The authorities vouch for many hosts; only the one that was meant
        // to be reached may answer.
        boost::system::error_code ignored;
        stream_.set_verify_callback(
            asio::ssl::host_name_verification(peer_address_), ignored);
      }
      stream_.async_handshake(as_server ? asio::ssl::stream_base::server
                                        : asio::ssl::stream_base::client,
                              std::move(handler));
    }
  }

  void ReadSome(asio::mutable_buffer space, read_handler handler) override {
    stream_.async_read_some(space, [this, handler = std::move(handler)](
                                       boost::system::error_code failure,
                                       std::size_t size) mutable {
      if (failure == asio::error::eof) {
        OnEnd(std::move(handler));
      } else {
        handler(failure, size);
      }
    });
  }

  void Write(asio::const_buffer bytes, read_handler handler) override {
    is_writing_ = true;
    asio::async_write(stream_, bytes,
                      [this, handler = std::move(handler)](
                          boost::system::error_code failure, std::size_t size) {
                        is_writing_ = false;
                        write_failure_ = failure;
                        const auto on_end = std::exchange(on_end_, nullptr);
                        handler(failure, size);
                        if (on_end) {
                          on_end(EndOfInput(), 0);
                        }
                      });
  }

  bool HasInput() override {
    char byte = 0;
    boost::system::error_code failure;
    tcp::socket& socket = SocketOf(stream_);
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure != asio::error::would_block;
  }

  void ShutdownSend() override {
    boost::system::error_code ignored;
    SocketOf(stream_).shutdown(tcp::socket::shutdown_send, ignored);
  }

  void Close() override {
    boost::system::error_code ignored;
    SocketOf(stream_).close(ignored);
  }

  void CloseWithReset() override {
    boost::system::error_code ignored;
    SocketOf(stream_).set_option(tcp::socket::linger(true, 0), ignored);
    SocketOf(stream_).close(ignored);
  }

  asio::any_io_executor executor() override { return stream_.get_executor(); }

  void SetOptions() {
    boost::system::error_code ignored;
    SocketOf(stream_).set_option(tcp::no_delay(true), ignored);
    SocketOf(stream_).set_option(user_timeout(kUnacknowledgedLimitMs), ignored);
  }

 private:
  // The kernel reports a reset once, to a read or a write; after a write was
  // told, a read sees an orderly end. A write fails with broken_pipe if the
  // peer had ended its side in order before.
  boost::system::error_code EndOfInput() const {
    return write_failure_ && write_failure_ != asio::error::broken_pipe
               ? write_failure_
               : asio::error::eof;
  }

  // A write may have been told of a reset although its handler has not run yet.
  // If only the peer has closed its side, the write may never end.
  void OnEnd(read_handler handler) {
    if (is_writing_ && IsClosedBothWays()) {
      on_end_ = std::move(handler);
    } else {
      handler(EndOfInput(), 0);
    }
  }

  bool IsClosedBothWays() {
    pollfd state{SocketOf(stream_).native_handle(), 0, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & POLLHUP) != 0;
  }

  std::shared_ptr<asio::ssl::context> tls_;
  std::string peer_address_;
  Stream stream_;
  bool is_writing_ = false;
  /** Result of the last write. */
  boost::system::error_code write_failure_;
  /** Handler of a read that waits for the result of the write in progress. */
  read_handler on_end_;
};

}  // namespace

std::shared_ptr<byte_stream> MakeByteStream(
    tcp::socket socket,
    std::shared_ptr<asio::ssl::context> tls) {
  if (!tls) {
    auto plain = std::make_shared<stream_holder<tcp::socket>>(
        nullptr, std::move(socket));
    plain->SetOptions();
    return plain;
  }
  asio::ssl::context& context = *tls;
  auto secured =
      std::make_shared<stream_holder<asio::ssl::stream<tcp::socket>>>(
          std::move(tls), std::move(socket), context);
  secured->SetOptions();
  return secured;
}

}  // namespace gentian::detail
