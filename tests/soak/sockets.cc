#include "sockets.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <regex>

namespace gentian::soak {

namespace {

sockaddr_in ToSocketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return out;
}

void SetNoDelay(int socket) {
  const int yes = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

bool WaitFor(int socket, short events, milliseconds limit) {
  pollfd ready{socket, events, 0};
  return ::poll(&ready, 1, static_cast<int>(limit.count())) > 0;
}

}  // namespace

int Connect(const std::string& address, milliseconds limit) {
  const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in peer = ToSocketAddress(address);
  int failure = 0;
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer),
                sizeof(peer)) != 0) {
    failure = errno;
    socklen_t size = sizeof(failure);
    if (failure == EINPROGRESS && WaitFor(socket, POLLOUT, limit)) {
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
  }
  if (failure != 0) {
    ::close(socket);
    return -1;
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  SetNoDelay(socket);
  return socket;
}

int Listen(std::string& address) {
  constexpr int kBacklog = 256;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in own = ToSocketAddress(address.empty() ? "127.0.0.1:0" : address);
  socklen_t size = sizeof(own);
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&own), size) != 0 ||
      ::getsockname(socket, reinterpret_cast<sockaddr*>(&own), &size) != 0 ||
      ::listen(socket, kBacklog) != 0) {
    ::close(socket);
    return -1;
  }
  address = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
  return socket;
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

read_end Receive(int socket, std::string& bytes, milliseconds limit) {
  if (!WaitFor(socket, POLLIN, limit)) {
    return read_end::timeout;
  }
  std::array<char, 16 * 1024> space{};
  const ssize_t count = ::recv(socket, space.data(), space.size(), 0);
  if (count <= 0) {
    return count == 0 ? read_end::closed : read_end::reset;
  }
  bytes.append(space.data(), static_cast<std::size_t>(count));
  return read_end::data;
}

void ResetOnClose(int socket) {
  const linger none{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
}

int StatusOf(const std::string& head) {
  static const std::regex answer(
      "HTTP/1\\.1 ([2-5][0-9]{2})( [^\\r\\n]*)?\r\n"
      "([-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\\r\\n]*\r\n)*");
  std::smatch parts;
  return std::regex_match(head, parts, answer) ? std::stoi(parts[1]) : 0;
}

std::string FieldOf(const std::string& head, const std::string& name) {
  std::size_t line = head.find("\r\n");
  while (line != std::string::npos) {
    const std::size_t start = line + 2;
    line = head.find("\r\n", start);
    const std::string field = head.substr(start, line - start);
    const std::size_t colon = field.find(':');
    if (colon == name.size() &&
        ::strncasecmp(field.data(), name.data(), colon) == 0) {
      const std::size_t first = field.find_first_not_of(' ', colon + 1);
      return first == std::string::npos ? "" : field.substr(first);
    }
  }
  return {};
}

}  // namespace gentian::soak
