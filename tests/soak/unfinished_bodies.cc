#include "unfinished_bodies.h"

#include <poll.h>
#include <unistd.h>

#include <utility>
#include <vector>

#include "sockets.h"

namespace gentian::soak {

namespace {

constexpr milliseconds kConnectLimit{1'000};
constexpr milliseconds kPause{5};
constexpr int kConnections = 40;
// As many bytes as the default configuration allows in a body.
constexpr std::size_t kBody = 4 * 1024 * 1024;
constexpr std::size_t kPart = 32 * 1024;

}  // namespace

unfinished_bodies::unfinished_bodies(std::string gateway)
    : gateway_(std::move(gateway)), thread_([this] { Run(); }) {}

unfinished_bodies::~unfinished_bodies() {
  Stop();
  thread_.join();
}

void unfinished_bodies::Run() {
  struct sender {
    int socket;
    std::size_t sent;
  };
  std::vector<sender> senders;
  for (int i = 0; i < kConnections && !is_stopped_; ++i) {
    const int socket = Connect(gateway_, kConnectLimit);
    if (socket >= 0 &&
        SendAll(socket,
                "POST /turn/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: "
                "k\r\nRequest-Id: unfinished\r\nContent-Length: " +
                    std::to_string(kBody) + "\r\n\r\n")) {
      senders.push_back({socket, 0});
    }
  }
  const std::string part(kPart, 'x');
  while (!is_stopped_) {
    for (sender& next : senders) {
      pollfd writable{next.socket, POLLOUT, 0};
      if (next.sent + 2 * part.size() < kBody && ::poll(&writable, 1, 0) == 1 &&
          SendAll(next.socket, part)) {
        next.sent += part.size();
      }
    }
    std::this_thread::sleep_for(kPause);
  }
  for (const sender& next : senders) {
    ::close(next.socket);
  }
}

}  // namespace gentian::soak
