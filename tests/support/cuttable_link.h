#ifndef TESTS_SUPPORT_CUTTABLE_LINK_H_
#define TESTS_SUPPORT_CUTTABLE_LINK_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace gentian::testing {

/** A loopback port that leads to another one, until it is cut: new connections
    are refused, and the open ones are reset or go on. */
class cuttable_link {
 public:
  explicit cuttable_link(const std::string& server) : server_(server) {
    Listen(0);
  }
  ~cuttable_link() {
    StopListening();
    CloseConnections();
    for (std::thread& next : threads_) {
      next.join();
    }
  }
  cuttable_link(const cuttable_link&) = delete;
  cuttable_link& operator=(const cuttable_link&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  /** Refuses new connections. */
  void Cut(bool resets_open_ones) {
    StopListening();
    if (resets_open_ones) {
      CloseConnections();
    }
  }
  void Restore() { Listen(port_); }

 private:
  static sockaddr_in Loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
  }

  void Listen(int port) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in own = Loopback(port);
    socklen_t size = sizeof(own);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&own), size) != 0 ||
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &size) !=
            0 ||
        ::listen(listener_, 64) != 0) {
      throw std::runtime_error("the link's port is not free");
    }
    port_ = ntohs(own.sin_port);
    accepting_ = std::thread([this] { Accept(); });
  }

  void StopListening() {
    if (accepting_.joinable()) {
      ::shutdown(listener_, SHUT_RDWR);
      accepting_.join();
      ::close(listener_);
    }
  }

  void CloseConnections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int next : sockets_) {
      ::shutdown(next, SHUT_RDWR);
    }
  }

  void Accept() {
    while (true) {
      const int client = ::accept(listener_, nullptr, nullptr);
      if (client < 0) {
        return;
      }
      const int server = ::socket(AF_INET, SOCK_STREAM, 0);
      const std::size_t colon = server_.find(':');
      const sockaddr_in peer = Loopback(std::stoi(server_.substr(colon + 1)));
      if (::connect(server, reinterpret_cast<const sockaddr*>(&peer),
                    sizeof(peer)) != 0) {
        ::close(client);
        ::close(server);
        continue;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      sockets_.push_back(client);
      sockets_.push_back(server);
      threads_.emplace_back([client, server] { Copy(client, server); });
      threads_.emplace_back([client, server] { Copy(server, client); });
    }
  }

  // The sockets stay open until the process ends, so that no number is used
  // again while the other direction runs.
  static void Copy(int from, int to) {
    std::array<char, 4096> space{};
    while (true) {
      const ssize_t count = ::recv(from, space.data(), space.size(), 0);
      if (count <= 0) {
        ::shutdown(to, SHUT_WR);
        return;
      }
      ::send(to, space.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
    }
  }

  const std::string server_;
  int port_ = 0;
  int listener_ = -1;
  std::thread accepting_;
  std::mutex mutex_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_CUTTABLE_LINK_H_
