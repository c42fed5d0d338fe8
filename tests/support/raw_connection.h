#ifndef TESTS_SUPPORT_RAW_CONNECTION_H_
#define TESTS_SUPPORT_RAW_CONNECTION_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian::testing {

/** A blocking TCP connection for input that no HTTP client sends. */
class raw_connection {
 public:
  explicit raw_connection(const std::string& address)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const std::size_t colon = address.find(':');
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    connected_ = ::connect(socket_, reinterpret_cast<const sockaddr*>(&peer),
                           sizeof(peer)) == 0;
  }
  ~raw_connection() { ::close(socket_); }
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  bool connected() const { return connected_; }

  void Write(const std::string& bytes) const {
    ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /** What arrives next; empty if the peer closes or the limit passes. */
  std::string Read(milliseconds limit) const {
    pollfd readable{socket_, POLLIN, 0};
    std::array<char, 4096> part{};
    if (::poll(&readable, 1, static_cast<int>(limit.count())) <= 0) {
      return {};
    }
    const ssize_t count = ::recv(socket_, part.data(), part.size(), 0);
    return count <= 0
               ? std::string()
               : std::string(part.data(), static_cast<std::size_t>(count));
  }

  /** True if the peer closes the connection within the limit. */
  bool IsClosedWithin(milliseconds limit) const {
    pollfd readable{socket_, POLLIN, 0};
    std::array<char, 1> byte{};
    return ::poll(&readable, 1, static_cast<int>(limit.count())) > 0 &&
           ::recv(socket_, byte.data(), byte.size(), MSG_PEEK) <= 0;
  }

 private:
  int socket_;
  bool connected_ = false;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_RAW_CONNECTION_H_
