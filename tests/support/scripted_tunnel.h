#ifndef TESTS_SUPPORT_SCRIPTED_TUNNEL_H_
#define TESTS_SUPPORT_SCRIPTED_TUNNEL_H_

#include <sys/socket.h>

#include <array>
#include <functional>
#include <string>
#include <utility>

#include "gentian_net/tunnel_frames.h"
#include "support/loopback_server.h"

namespace gentian::testing {

/** A tunnel server that answers the request of each tunnel itself, with bytes
    that a script makes, and then closes in order, as the kernel does for a
    process that is killed. */
class scripted_tunnel {
 public:
  /** @param line     of the client, without its end
      @param request  header of the request that came through the tunnel
      @returns        what the client reads after `OK` */
  using script = std::function<std::string(const std::string& line,
                                           const std::string& request)>;

  explicit scripted_tunnel(script answers)
      : answers_(std::move(answers)),
        server_([this](int peer) { Serve(peer); }) {}

  const std::string& address() const { return server_.address(); }

  /** Bytes in one frame. */
  static std::string Frame(const std::string& bytes) {
    const auto header = detail::EncodeTunnelFrame(bytes.size());
    return std::string(header.begin(), header.end()) + bytes;
  }
  static std::string EndMark() { return Frame(""); }

 private:
  static std::string ReadUntil(int peer, const std::string& end) {
    std::string input;
    std::array<char, 4096> space{};
    while (input.find(end) == std::string::npos) {
      const ssize_t count = ::recv(peer, space.data(), space.size(), 0);
      if (count <= 0) {
        return {};
      }
      input.append(space.data(), static_cast<std::size_t>(count));
    }
    return input.substr(0, input.find(end));
  }

  void Serve(int peer) {
    const std::string line = ReadUntil(peer, "\n");
    if (line.empty()) {
      return;
    }
    ::send(peer, "OK\n", 3, MSG_NOSIGNAL);
    const std::string request = ReadUntil(peer, "\r\n\r\n");
    if (request.empty()) {
      return;
    }
    const std::string bytes = answers_(line, request + "\r\n");
    ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::shutdown(peer, SHUT_RDWR);
  }

  script answers_;
  /** Last, because its threads use the script. */
  loopback_server server_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_SCRIPTED_TUNNEL_H_
