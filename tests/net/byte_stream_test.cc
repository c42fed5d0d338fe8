// Tests how the end of a connection is reported to both of its directions.
#include "gentian_net/byte_stream.h"

#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <future>
#include <memory>
#include <string>

#include "gentian_net/gentian_net.h"
#include "support/loopback_server.h"
#include "support/socket_state.h"
#include "support/synchronous_http.h"

using namespace gentian;
using boost::system::error_code;
using gentian::testing::IsResetReported;
using gentian::testing::IsSendBlocked;
using gentian::testing::ListenOnLoopback;
using gentian::testing::WaitFor;

namespace asio = boost::asio;

namespace {

// More than the buffers of both ends hold.
constexpr std::size_t kUpload = 32 * 1024 * 1024;

/** A connection whose peer reads nothing while an upload is being written. */
class blocked_upload {
 public:
  blocked_upload()
      : listener_(ListenOnLoopback(address_, 1)),
        socket_(asio::make_strand(pool.context())) {
    socket_.connect(asio::ip::tcp::endpoint(
        asio::ip::make_address("127.0.0.1"),
        static_cast<std::uint16_t>(
            std::stoi(address_.substr(address_.find(':') + 1)))));
    peer_ = ::accept(listener_, nullptr, nullptr);
    descriptor = socket_.native_handle();
    stream = detail::MakeByteStream(std::move(socket_), nullptr);
  }
  ~blocked_upload() {
    pool.Stop();
    ::close(peer_);
    ::close(listener_);
  }
  blocked_upload(const blocked_upload&) = delete;
  blocked_upload& operator=(const blocked_upload&) = delete;

  /** The result of the upload. */
  std::future<error_code> Write() {
    const auto written = std::make_shared<std::promise<error_code>>();
    asio::post(stream->executor(), [this, written] {
      stream->Write(asio::buffer(upload_),
                    [written](error_code failure, std::size_t) {
                      written->set_value(failure);
                    });
    });
    return written->get_future();
  }

  /** The same, once the buffers are full. */
  std::future<error_code> StartWriting() {
    std::future<error_code> written = Write();
    cr_assert(WaitFor([this] { return IsSendBlocked(descriptor); }));
    return written;
  }

  /** The result of the next read. */
  std::future<error_code> Read() {
    asio::post(stream->executor(), [this] { ReadOnStrand(); });
    return read_.get_future();
  }
  void ReadOnStrand() {
    stream->ReadSome(
        asio::buffer(space_),
        [this](error_code failure, std::size_t) { read_.set_value(failure); });
  }
  std::future<error_code> ReadResult() { return read_.get_future(); }

  void EndPeer() const { ::shutdown(peer_, SHUT_WR); }
  void ResetPeer() {
    const linger none{1, 0};
    ::setsockopt(peer_, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    ::close(std::exchange(peer_, -1));
  }

  io_pool pool{2};
  std::shared_ptr<detail::byte_stream> stream;
  int descriptor = -1;

 private:
  const std::string upload_ = std::string(kUpload, 'x');
  std::string address_;
  int listener_;
  int peer_ = -1;
  asio::ip::tcp::socket socket_;
  std::array<char, 16> space_{};
  std::promise<error_code> read_;
};

}  // namespace

// Guards against a reset that looks like an orderly end to the reader, because
// the kernel has reported it to the writer.
Test(byte_stream, a_reset_that_a_write_saw_is_read_as_a_reset, .timeout = 60) {
  blocked_upload subject;
  std::future<error_code> written = subject.StartWriting();
  subject.ResetPeer();
  cr_assert(written.get() == asio::error::connection_reset);
  const error_code read = subject.Read().get();
  cr_assert(read == asio::error::connection_reset, "%s",
            read.message().c_str());
}

// Guards against the same while the writer's handler has not run yet.
Test(byte_stream, a_reset_is_read_before_the_write_is_told, .timeout = 60) {
  blocked_upload subject;
  subject.StartWriting();
  std::future<error_code> read = subject.ReadResult();
  std::promise<void> is_held;
  // The write ends on the other thread, and its handler waits for the strand.
  asio::post(subject.stream->executor(), [&] {
    is_held.set_value();
    cr_assert(WaitFor([&] { return IsResetReported(subject.descriptor); }));
    subject.ReadOnStrand();
  });
  is_held.get_future().wait();
  subject.ResetPeer();
  const error_code got = read.get();
  cr_assert(got == asio::error::connection_reset, "%s", got.message().c_str());
}

// Guards against an orderly end that counts as a reset because the peer takes
// no more of the upload afterwards.
Test(byte_stream, an_orderly_end_stays_one_if_a_reset_follows, .timeout = 60) {
  blocked_upload subject;
  std::future<error_code> written = subject.StartWriting();
  subject.EndPeer();
  subject.ResetPeer();
  cr_assert(written.get() == asio::error::broken_pipe);
  const error_code read = subject.Read().get();
  cr_assert(read == asio::error::eof, "%s", read.message().c_str());
}

// Guards against an orderly end that waits for an upload which nobody reads.
Test(byte_stream, an_orderly_end_does_not_wait_for_the_write, .timeout = 60) {
  blocked_upload subject;
  subject.StartWriting();
  subject.EndPeer();
  const error_code read = subject.Read().get();
  cr_assert(read == asio::error::eof, "%s", read.message().c_str());
}
