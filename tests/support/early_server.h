#ifndef TESTS_SUPPORT_EARLY_SERVER_H_
#define TESTS_SUPPORT_EARLY_SERVER_H_

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "support/loopback_server.h"
#include "support/socket_state.h"

namespace gentian::testing {

/** A TCP server that answers a request at the end of its header, while the body
    is still being sent, and reads on only as its script says. */
class early_server {
 public:
  /** The connection of one request. */
  class connection {
   public:
    connection(loopback_server& server, int peer)
        : server_(server), peer_(peer) {}

    void Send(const std::string& bytes) const {
      ::send(peer_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /** Waits until the sender of the request, which is in this process, can
        send no more.

        @returns  its socket */
    int AwaitBlockedSender() const {
      int sender = OtherEndOf(peer_);
      while (sender >= 0 && !IsSendBlocked(sender)) {
        sender = OtherEndOf(peer_);
      }
      return sender;
    }

    /** Waits until the sender of the request, which is in this process, has
        read everything that was sent. */
    void AwaitReading() const {
      const int sender = OtherEndOf(peer_);
      while (UnacknowledgedBytes(peer_) > 0 || UnreadBytes(sender) > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    }

    /** Ends this side of the connection in order. */
    void EndSending() const { ::shutdown(peer_, SHUT_WR); }

    void Reset() { server_.Reset(peer_); }

    /** Reads and drops what comes until the caller closes. */
    void ReadRest() const {
      std::array<char, 64 * 1024> space{};
      while (::recv(peer_, space.data(), space.size(), 0) > 0) {
      }
    }

   private:
    loopback_server& server_;
    int peer_;
  };

  /** @param header  of the request; runs on a thread of the connection, which
                     stays open when it returns */
  using script =
      std::function<void(const std::string& header, connection& caller)>;

  explicit early_server(script answer)
      : answer_(std::move(answer)),
        server_([this](int peer) { Serve(peer); }) {}

  const std::string& address() const { return server_.address(); }

  /** Closes all connections and takes no more. */
  void Stop() { server_.Stop(); }

 private:
  void Serve(int peer) {
    // The body does not fit, so that its sender waits for the script.
    const int buffer = 4'096;
    ::setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    std::string header;
    char next = 0;
    while (header.size() < 4 ||
           header.compare(header.size() - 4, 4, "\r\n\r\n") != 0) {
      if (::recv(peer, &next, 1, 0) <= 0) {
        return;
      }
      header += next;
    }
    connection caller(server_, peer);
    answer_(header, caller);
  }

  script answer_;
  /** Last, because its threads use the script. */
  loopback_server server_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_EARLY_SERVER_H_
