#ifndef TESTS_SUPPORT_SCRIPTED_TUNNEL_H_
#define TESTS_SUPPORT_SCRIPTED_TUNNEL_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gentian_net/tunnel_frames.h"

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
        socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    const bool is_bound =
        ::bind(socket_, reinterpret_cast<const sockaddr*>(&own), size) == 0 &&
        ::getsockname(socket_, reinterpret_cast<sockaddr*>(&own), &size) == 0 &&
        ::listen(socket_, 16) == 0;
    if (!is_bound) {
      throw std::runtime_error("no loopback port is free");
    }
    address_ = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
    accepting_ = std::thread([this] { Accept(); });
  }
  ~scripted_tunnel() {
    ::shutdown(socket_, SHUT_RDWR);
    accepting_.join();
    ::close(socket_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const int peer : peers_) {
        ::shutdown(peer, SHUT_RDWR);
      }
    }
    for (std::thread& next : threads_) {
      next.join();
    }
    for (const int peer : peers_) {
      ::close(peer);
    }
  }
  scripted_tunnel(const scripted_tunnel&) = delete;
  scripted_tunnel& operator=(const scripted_tunnel&) = delete;

  const std::string& address() const { return address_; }

  /** Bytes in one frame. */
  static std::string Frame(const std::string& bytes) {
    const auto header = detail::EncodeTunnelFrame(bytes.size());
    return std::string(header.begin(), header.end()) + bytes;
  }
  static std::string EndMark() { return Frame(""); }

 private:
  void Accept() {
    while (true) {
      const int peer = ::accept(socket_, nullptr, nullptr);
      if (peer < 0) {
        return;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      peers_.push_back(peer);
      threads_.emplace_back([this, peer] { Serve(peer); });
    }
  }

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
  int socket_;
  std::string address_;
  std::thread accepting_;
  std::mutex mutex_;
  std::vector<int> peers_;
  std::vector<std::thread> threads_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_SCRIPTED_TUNNEL_H_
