#ifndef GENTIAN_NET_BYTE_STREAM_H_
#define GENTIAN_NET_BYTE_STREAM_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "gentian_core/gentian_core.h"

namespace boost::asio::ssl {
class context;
}  // namespace boost::asio::ssl

namespace gentian::detail {

/** A TCP connection, with or without TLS. All functions and handlers run on
    the connection's strand. Only the .cc files of this module include it.
*/
class byte_stream {
 public:
  using done_handler = std::function<void(boost::system::error_code)>;
  using read_handler =
      std::function<void(boost::system::error_code, std::size_t)>;

  virtual ~byte_stream() = default;

  virtual void Connect(const boost::asio::ip::tcp::endpoint& endpoint,
                       done_handler handler) = 0;
  /** TLS handshake in the role of server or client; at once without TLS. */
  virtual void Handshake(bool as_server, done_handler handler) = 0;
  /** Fails with `eof` after an orderly end of the peer only, also where a write
      has been told of a reset. */
  virtual void ReadSome(boost::asio::mutable_buffer space,
                        read_handler handler) = 0;
  /** Writes everything. The bytes must stay valid until the handler runs. One
      write at a time. */
  virtual void Write(boost::asio::const_buffer bytes, read_handler handler) = 0;
  /** True if bytes or an end of stream are waiting to be read. */
  virtual bool HasInput() = 0;
  virtual void ShutdownSend() = 0;
  virtual void Close() = 0;
  /** Closes so that the peer sees a reset instead of an orderly end. */
  virtual void CloseWithReset() = 0;
  virtual boost::asio::any_io_executor executor() = 0;
};

/** Wraps a socket whose executor is a strand.

    @param tls  nothing for plain TCP
*/
std::shared_ptr<byte_stream> MakeByteStream(
    boost::asio::ip::tcp::socket socket,
    std::shared_ptr<boost::asio::ssl::context> tls);

}  // namespace gentian::detail

#endif  // GENTIAN_NET_BYTE_STREAM_H_
