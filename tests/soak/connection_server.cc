#include "connection_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include "sockets.h"

namespace gentian::soak {

connection_server::connection_server(handler serve) : serve_(std::move(serve)) {
  Open();
}

connection_server::~connection_server() {
  Close();
  EndConnections(false);
  while (serving_ > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void connection_server::Open() {
  if (is_open_) {
    return;
  }
  listener_ = Listen(address_);
  if (listener_ >= 0) {
    is_open_ = true;
    accepting_ =
        std::thread([this, listener = listener_] { Accept(listener); });
  }
}

void connection_server::Close() {
  if (is_open_.exchange(false)) {
    ::shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    ::close(listener_);
  }
}

void connection_server::EndConnections(bool with_reset) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const int socket : sockets_) {
    if (with_reset) {
      ResetOnClose(socket);
    }
    // The thread that serves it closes it.
    ::shutdown(socket, with_reset ? SHUT_RD : SHUT_RDWR);
  }
}

void connection_server::Accept(int listener) {
  while (is_open_) {
    const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      sockets_.insert(socket);
    }
    ++serving_;
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void connection_server::Serve(int socket) {
  serve_(socket);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.erase(socket);
    ::close(socket);
  }
  --serving_;
}

}  // namespace gentian::soak
