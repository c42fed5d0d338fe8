#ifndef TESTS_SUPPORT_HOSTILE_SERVER_H_
#define TESTS_SUPPORT_HOSTILE_SERVER_H_

#include <array>
#include <atomic>
#include <string>
#include <utility>

#include "support/loopback_server.h"

namespace gentian::testing {

/** An answer that begins well, and a part of it that is repeated. */
struct hostile_answer {
  std::string begin;
  std::string repeated;
  /** Bytes after which the server is silent. */
  std::size_t bytes = 8 * 1024 * 1024;
};

/** Answers each request with bytes that end only with the connection. */
class hostile_server {
 public:
  explicit hostile_server(hostile_answer answer)
      : answer_(std::move(answer)), server_([this](int peer) { Serve(peer); }) {
    constexpr std::size_t kPart = 4'000;
    while (part_.size() < kPart) {
      part_ += answer_.repeated;
    }
  }
  ~hostile_server() { server_.Stop(); }
  hostile_server(const hostile_server&) = delete;
  hostile_server& operator=(const hostile_server&) = delete;

  const std::string& address() const { return server_.address(); }
  std::size_t requests() const { return requests_; }

 private:
  void Serve(int peer) {
    std::string request;
    std::array<char, 4'096> space{};
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t count = ::recv(peer, space.data(), space.size(), 0);
      if (count <= 0) {
        return;
      }
      request.append(space.data(), static_cast<std::size_t>(count));
    }
    ++requests_;
    const std::string name = "\r\nRequest-Id: ";
    const std::size_t at = request.find(name);
    std::string text = "HTTP/1.1 ";
    text += answer_.begin;
    if (at != std::string::npos) {
      const std::size_t first = at + name.size();
      text.insert(text.find("\r\n"),
                  request.substr(at, request.find("\r\n", first) - at) +
                      "\r\nResponse-Seal: s");
    }
    for (std::size_t sent = 0; sent < answer_.bytes; sent += text.size()) {
      if (::send(peer, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
        return;
      }
      text = part_;
    }
    // The rest waits for the gateway to end the connection.
    while (::recv(peer, space.data(), space.size(), 0) > 0) {
    }
  }

  hostile_answer answer_;
  std::string part_;
  std::atomic<std::size_t> requests_{0};
  loopback_server server_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_HOSTILE_SERVER_H_
