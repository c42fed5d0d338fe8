#ifndef TESTS_SUPPORT_SCRIPTED_TARGET_H_
#define TESTS_SUPPORT_SCRIPTED_TARGET_H_

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "support/loopback_server.h"

namespace gentian::testing {

/** A TCP server that answers each request with bytes that a script makes, which
    no HTTP server would send. Requests have a length, or no body. */
class scripted_target {
 public:
  /** How a connection ends after the bytes. */
  enum class ending {
    keep_open,
    close,
    reset,
    /** Takes no connections any more and closes in order, as the kernel does
        for a process that is killed. */
    killed,
  };
  struct step {
    std::string bytes;
    ending end = ending::keep_open;
    /** Sent after the bytes, again and again until the caller closes. */
    std::string repeated = {};
  };
  /** @param request  the header of a request
      @param number   of the request on its connection, from 1; runs on a
                      thread of the connection */
  using script = std::function<step(const std::string& request, int number)>;

  explicit scripted_target(script answers)
      : answers_(std::move(answers)),
        server_([this](int peer) { Serve(peer); }) {}

  const std::string& address() const { return server_.address(); }

  int requests() const { return requests_; }
  /** Bytes of repeated parts that callers' connections took. */
  std::size_t repeated_bytes() const { return repeated_bytes_; }

  /** Closes all connections and takes no more. */
  void Stop() { server_.Stop(); }

  /** The value of a header field of a request; empty if it is absent. */
  static std::string FieldOf(const std::string& request,
                             const std::string& name) {
    const std::size_t start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
      return {};
    }
    const std::size_t first = start + name.size() + 4;
    return request.substr(first, request.find("\r\n", first) - first);
  }

 private:
  void Serve(int peer) {
    std::string input;
    std::array<char, 4096> space{};
    for (int number = 1;; ++number) {
      std::size_t end = std::string::npos;
      std::size_t body = 0;
      while ((end = input.find("\r\n\r\n")) == std::string::npos ||
             input.size() < end + 4 + body) {
        if (end != std::string::npos) {
          const std::string length =
              FieldOf(input.substr(0, end + 2), "Content-Length");
          body = length.empty() ? 0 : std::stoul(length);
          if (input.size() >= end + 4 + body) {
            break;
          }
        }
        const ssize_t count = ::recv(peer, space.data(), space.size(), 0);
        if (count <= 0) {
          return;
        }
        input.append(space.data(), static_cast<std::size_t>(count));
      }
      ++requests_;
      const step next = answers_(input.substr(0, end + 2), number);
      input.erase(0, end + 4 + body);
      ::send(peer, next.bytes.data(), next.bytes.size(), MSG_NOSIGNAL);
      while (!next.repeated.empty()) {
        const ssize_t count = ::send(peer, next.repeated.data(),
                                     next.repeated.size(), MSG_NOSIGNAL);
        if (count < 0) {
          return;
        }
        repeated_bytes_ += static_cast<std::size_t>(count);
      }
      if (next.end == ending::close || next.end == ending::killed) {
        if (next.end == ending::killed) {
          server_.StopListening();
        }
        ::shutdown(peer, SHUT_RDWR);
        return;
      }
      if (next.end == ending::reset) {
        // The bytes arrive before the reset.
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        server_.Reset(peer);
        return;
      }
    }
  }

  script answers_;
  std::atomic<int> requests_{0};
  std::atomic<std::size_t> repeated_bytes_{0};
  /** Last, because its threads use the others. */
  loopback_server server_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_SCRIPTED_TARGET_H_
