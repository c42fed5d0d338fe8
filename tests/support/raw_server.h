#ifndef TESTS_SUPPORT_RAW_SERVER_H_
#define TESTS_SUPPORT_RAW_SERVER_H_

#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "support/loopback_server.h"

namespace gentian::testing {

/** A TCP server that answers with bytes that no HTTP server sends. Takes one
    connection. */
class raw_server {
 public:
  /** Sends bytes to the client; false once the client has closed. */
  using sender = std::function<bool(const std::string& bytes)>;

  /** @param serve  runs on a thread of its own after the connection's first
                    bytes have come */
  explicit raw_server(std::function<void(const sender&)> serve)
      : socket_(ListenOnLoopback(address_, 1)) {
    thread_ = std::thread([this, serve = std::move(serve)] {
      const int peer = ::accept(socket_, nullptr, nullptr);
      char byte = 0;
      if (peer >= 0 && ::recv(peer, &byte, 1, MSG_PEEK) > 0) {
        serve([peer](const std::string& bytes) {
          return ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
        });
      }
      ::close(peer);
    });
  }
  ~raw_server() {
    ::shutdown(socket_, SHUT_RDWR);
    thread_.join();
    ::close(socket_);
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  const std::string& address() const { return address_; }

 private:
  std::string address_;
  int socket_;
  std::thread thread_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_RAW_SERVER_H_
