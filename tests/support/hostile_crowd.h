#ifndef TESTS_SUPPORT_HOSTILE_CROWD_H_
#define TESTS_SUPPORT_HOSTILE_CROWD_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian::testing {

/** What each connection of a hostile_crowd sends: a beginning, and then the
    same lines again and again. */
struct hostile_input {
  std::string begin;
  std::string repeated;
  /** Bytes on each connection. */
  std::size_t bytes = 0;
  /** Sent after those bytes. */
  std::string end = {};
};

/** Connections that send without a wait for answers, which they don't read.
    Sends block neither the test nor each other. A connection that the process
    ends is made anew, a few times. */
class hostile_crowd {
 public:
  hostile_crowd(const std::string& address, std::size_t connections)
      : address_(address) {
    // A test's own descriptors.
    constexpr rlim_t kOwn = 64;
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(
        limit.rlim_max, std::max(limit.rlim_cur, rlim_t(connections) + kOwn));
    ::setrlimit(RLIMIT_NOFILE, &limit);
    for (std::size_t i = 0; i < connections; ++i) {
      members_.push_back({Connect(), 0});
    }
  }
  ~hostile_crowd() {
    for (const member& next : members_) {
      if (next.socket >= 0) {
        ::close(next.socket);
      }
    }
  }
  hostile_crowd(const hostile_crowd&) = delete;
  hostile_crowd& operator=(const hostile_crowd&) = delete;

  /** Sends until every connection has sent its input or is closed, or none
      takes a byte any more.

      @param observe  runs after each round */
  void Send(const hostile_input& input, const std::function<void()>& observe) {
    // Longer than the pauses of a process that still reads.
    constexpr std::chrono::milliseconds kStalled{1'500};
    constexpr std::chrono::milliseconds kRoundPause{2};
    constexpr std::chrono::seconds kLongest{20};
    std::string text = input.begin;
    while (text.size() < input.bytes) {
      text += input.repeated;
    }
    text += input.end;
    const auto start = std::chrono::steady_clock::now();
    auto last_progress = start;
    while (true) {
      bool has_rest = false;
      bool has_progress = false;
      for (member& next : members_) {
        if (next.socket < 0 || next.sent >= text.size()) {
          continue;
        }
        has_rest = true;
        // Parts end with whole lines, so that a parser takes each of them.
        const std::size_t part = std::min(kPart, text.size() - next.sent);
        const ssize_t count = ::send(next.socket, text.data() + next.sent, part,
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
          next.sent += static_cast<std::size_t>(count);
          has_progress = true;
        } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
          Reconnect(next);
          has_progress = true;
        }
      }
      observe();
      const auto now = std::chrono::steady_clock::now();
      if (has_progress) {
        last_progress = now;
      }
      if (!has_rest || now - last_progress > kStalled ||
          now - start > kLongest) {
        return;
      }
      std::this_thread::sleep_for(kRoundPause);
    }
  }

 private:
  static constexpr std::size_t kPart = 4'000;

  // Connections of a member, one after the other, when it is refused.
  static constexpr int kLives = 4;

  struct member {
    int socket;
    std::size_t sent;
    int lives = kLives;
  };

  void Reconnect(member& subject) const {
    ::close(subject.socket);
    subject.sent = 0;
    subject.socket = --subject.lives > 0 ? Connect() : -1;
  }

  int Connect() const {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const std::size_t colon = address_.find(':');
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(
        static_cast<std::uint16_t>(std::stoi(address_.substr(colon + 1))));
    ::inet_pton(AF_INET, address_.substr(0, colon).c_str(), &peer.sin_addr);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer),
                  sizeof(peer)) != 0) {
      ::close(socket);
      return -1;
    }
    return socket;
  }

  std::string address_;
  std::vector<member> members_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_HOSTILE_CROWD_H_
