#ifndef TESTS_SUPPORT_SOCKET_STATE_H_
#define TESTS_SUPPORT_SOCKET_STATE_H_

#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <chrono>
#include <thread>

namespace gentian::testing {

/** Bytes that the peer's kernel has not acknowledged; -1 for no socket. */
inline int UnacknowledgedBytes(int socket) {
  int bytes = 0;
  return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

/** Bytes that have come and are not read; -1 for no socket. */
inline int UnreadBytes(int socket) {
  int bytes = 0;
  return ::ioctl(socket, SIOCINQ, &bytes) == 0 ? bytes : -1;
}

/** True if the send buffer is full and stays so. */
inline bool IsSendBlocked(int socket) {
  constexpr std::chrono::milliseconds kStable{20};
  const int before = UnacknowledgedBytes(socket);
  std::this_thread::sleep_for(kStable);
  pollfd writable{socket, POLLOUT, 0};
  return ::poll(&writable, 1, 0) == 0 && UnacknowledgedBytes(socket) == before;
}

/** True once a connection was reset and a read or write has been told. */
inline bool IsResetReported(int socket) {
  pollfd state{socket, 0, 0};
  return ::poll(&state, 1, 0) > 0 && (state.revents & POLLHUP) != 0 &&
         (state.revents & POLLERR) == 0;
}

/** The other end of a connection on IPv4 within this process; -1 if there is
    none. */
inline int OtherEndOf(int socket) {
  constexpr int kMostDescriptors = 1'024;
  sockaddr_in wanted{};
  socklen_t size = sizeof(wanted);
  if (::getpeername(socket, reinterpret_cast<sockaddr*>(&wanted), &size) != 0) {
    return -1;
  }
  for (int next = 0; next < kMostDescriptors; ++next) {
    sockaddr_in own{};
    size = sizeof(own);
    if (::getsockname(next, reinterpret_cast<sockaddr*>(&own), &size) == 0 &&
        own.sin_family == AF_INET && own.sin_port == wanted.sin_port &&
        own.sin_addr.s_addr == wanted.sin_addr.s_addr) {
      return next;
    }
  }
  return -1;
}

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_SOCKET_STATE_H_
