#ifndef TESTS_SUPPORT_LOOPBACK_SERVER_H_
#define TESTS_SUPPORT_LOOPBACK_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace gentian::testing {

/** Listens on a free port of 127.0.0.1.

    @param address  receives `ip:port`
    @returns        the listening socket */
inline int ListenOnLoopback(std::string& address, int backlog) {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in own{};
  own.sin_family = AF_INET;
  own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(own);
  const bool is_bound =
      ::bind(listener, reinterpret_cast<const sockaddr*>(&own), size) == 0 &&
      ::getsockname(listener, reinterpret_cast<sockaddr*>(&own), &size) == 0 &&
      ::listen(listener, backlog) == 0;
  if (!is_bound) {
    throw std::runtime_error("no loopback port is free");
  }
  address = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
  return listener;
}

/** Accepts connections and serves each on a thread of its own. */
class loopback_server {
 public:
  /** @param serve  its connection stays open after it returns */
  explicit loopback_server(std::function<void(int peer)> serve)
      : serve_(std::move(serve)),
        listener_(ListenOnLoopback(address_, kBacklog)) {
    accepting_ = std::thread([this] { Accept(); });
  }
  ~loopback_server() { Stop(); }
  loopback_server(const loopback_server&) = delete;
  loopback_server& operator=(const loopback_server&) = delete;

  const std::string& address() const { return address_; }

  /** Takes no connections any more; the open ones go on. */
  void StopListening() const { ::shutdown(listener_, SHUT_RDWR); }

  /** Closes all connections and takes no more. */
  void Stop() {
    if (!accepting_.joinable()) {
      return;
    }
    StopListening();
    accepting_.join();
    ::close(listener_);
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

  /** Ends a connection with a reset. */
  void Reset(int peer) {
    const linger none{1, 0};
    ::setsockopt(peer, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    const std::lock_guard<std::mutex> lock(mutex_);
    for (int& known : peers_) {
      if (known == peer) {
        ::close(peer);
        known = -1;
      }
    }
  }

 private:
  // A connection that finds no place is only tried again after a second, and
  // then after two and four.
  static constexpr int kBacklog = 512;

  void Accept() {
    while (true) {
      const int peer = ::accept(listener_, nullptr, nullptr);
      if (peer < 0) {
        return;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      peers_.push_back(peer);
      threads_.emplace_back([this, peer] { serve_(peer); });
    }
  }

  std::function<void(int peer)> serve_;
  std::string address_;
  int listener_;
  std::thread accepting_;
  std::mutex mutex_;
  std::vector<int> peers_;
  std::vector<std::thread> threads_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_LOOPBACK_SERVER_H_
