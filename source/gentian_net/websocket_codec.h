#ifndef GENTIAN_NET_WEBSOCKET_CODEC_H_
#define GENTIAN_NET_WEBSOCKET_CODEC_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace gentian::detail {

/** The WebSocket protocol of one connection, without its socket: bytes in,
    messages out, and the reverse. Not thread-safe.
*/
class websocket_codec {
 public:
  /** What the codec tells its owner, within Start, Feed and Send. */
  struct handlers {
    std::function<void(std::string_view bytes)> write;
    std::function<void()> on_open;
    std::function<void(bool binary, const std::string& message)> on_message;
    std::function<void()> on_close;
  };

  virtual ~websocket_codec() = default;

  /** Begins the opening handshake. */
  virtual void Start() = 0;
  /** Takes bytes from the connection. */
  virtual void Feed(std::string_view bytes) = 0;
  virtual void Send(bool binary, std::string_view message) = 0;
  virtual void SendPing() = 0;
  /** Takes messages of any size from now on, and not only those of 4 KB that
      the ends introduce themselves with. */
  virtual void TakeLongMessages() = 0;
};

/** Creates the client's end. */
std::unique_ptr<websocket_codec> MakeWebsocketClient(
    const std::string& address,
    websocket_codec::handlers events);

/** Creates the server's end. */
std::unique_ptr<websocket_codec> MakeWebsocketServer(
    websocket_codec::handlers events);

}  // namespace gentian::detail

#endif  // GENTIAN_NET_WEBSOCKET_CODEC_H_
