// Minimal blocking HTTP/1.1 parts for the stand-ins of the review's scripts.
#ifndef REVIEW_SUPPORT_NET_H_
#define REVIEW_SUPPORT_NET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Milliseconds since the start of the process.
inline long Now() {
  using std::chrono::steady_clock;
  static const steady_clock::time_point start = steady_clock::now();
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          steady_clock::now() - start)
          .count());
}

inline void Sleep(long ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

inline std::string Lower(std::string text) {
  for (char& next : text) {
    next = static_cast<char>(std::tolower(static_cast<unsigned char>(next)));
  }
  return text;
}

inline sockaddr_in Address(const std::string& address) {
  const std::size_t colon = address.find(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return out;
}

inline void SetNoDelay(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

inline int FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address(ip + ":0");
  socklen_t size = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

inline int ConnectTo(const std::string& address, int timeout_ms = 1000) {
  const int fd =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in to = Address(address);
  int outcome = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  if (outcome != 0 && errno == EINPROGRESS) {
    pollfd wait{fd, POLLOUT, 0};
    int failure = ETIMEDOUT;
    socklen_t size = sizeof(failure);
    if (poll(&wait, 1, timeout_ms) == 1) {
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    outcome = failure == 0 ? 0 : -1;
  }
  if (outcome != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  SetNoDelay(fd);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

using headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Find(const headers& fields, const std::string& name) {
  for (const auto& [key, value] : fields) {
    if (Lower(key) == Lower(name)) {
      return value;
    }
  }
  return {};
}

/** How reading from a connection ended. */
enum class read_end { data, eof, reset, timeout };

/** A connection with a read buffer. */
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {}
  int fd() const { return fd_; }
  std::string& buffer() { return buffer_; }

  /** Reads more bytes; a negative limit waits without one. */
  read_end Fill(long limit_ms = -1) {
    pollfd wait{fd_, POLLIN, 0};
    const int ready = poll(&wait, 1, static_cast<int>(limit_ms));
    if (ready == 0) {
      return read_end::timeout;
    }
    char space[16384];
    const ssize_t count = recv(fd_, space, sizeof(space), 0);
    if (count > 0) {
      buffer_.append(space, static_cast<std::size_t>(count));
      return read_end::data;
    }
    return count == 0 ? read_end::eof : read_end::reset;
  }

 private:
  int fd_;
  std::string buffer_;
};

struct message {
  /** The three words of the first line. */
  std::string first, second, third;
  headers fields;
  std::string body;
};

inline bool ParseHead(const std::string& head, message& out) {
  std::size_t at = head.find("\r\n");
  const std::string line = head.substr(0, at);
  const std::size_t one = line.find(' ');
  const std::size_t two = line.find(' ', one + 1);
  if (one == std::string::npos) {
    return false;
  }
  out.first = line.substr(0, one);
  out.second = line.substr(one + 1, two == std::string::npos
                                        ? std::string::npos
                                        : two - one - 1);
  out.third = two == std::string::npos ? "" : line.substr(two + 1);
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t start = at + 2;
    at = head.find("\r\n", start);
    const std::string field = head.substr(
        start, at == std::string::npos ? std::string::npos : at - start);
    const std::size_t colon = field.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::size_t first = field.find_first_not_of(" \t", colon + 1);
    first = first == std::string::npos ? field.size() : first;
    std::string value = field.substr(first);
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
      value.pop_back();
    }
    out.fields.emplace_back(field.substr(0, colon), value);
  }
  return true;
}

/** Reads a request with a length or without a body. */
inline bool ReadRequest(connection& from, message& out) {
  std::size_t end;
  while ((end = from.buffer().find("\r\n\r\n")) == std::string::npos) {
    if (from.Fill() != read_end::data) {
      return false;
    }
  }
  if (!ParseHead(from.buffer().substr(0, end), out)) {
    return false;
  }
  from.buffer().erase(0, end + 4);
  const std::string length = Find(out.fields, "Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (from.buffer().size() < size) {
    if (from.Fill() != read_end::data) {
      return false;
    }
  }
  out.body = from.buffer().substr(0, size);
  from.buffer().erase(0, size);
  return true;
}

/** An answer as a caller sees it. */
struct answer {
  /** 0 if no head came. */
  int status = 0;
  headers fields;
  std::string body;
  /** The whole answer came, as its framing tells. */
  bool complete = false;
  /** The connection may be used again. */
  bool reusable = false;
};

/** Sends a request and reads its answer.

    @param on_body  called with the body so far after each part */
inline answer Exchange(connection& to,
                       const std::string& request,
                       long limit_ms,
                       const std::function<bool(const std::string&)>& on_body =
                           nullptr) {
  answer out;
  if (!SendAll(to.fd(), request)) {
    return out;
  }
  const long deadline = Now() + limit_ms;
  const auto fill = [&] {
    const long left = deadline - Now();
    return left <= 0 ? read_end::timeout : to.Fill(left);
  };
  std::size_t end;
  while ((end = to.buffer().find("\r\n\r\n")) == std::string::npos) {
    if (fill() != read_end::data) {
      return out;
    }
  }
  message head;
  ParseHead(to.buffer().substr(0, end), head);
  to.buffer().erase(0, end + 4);
  out.status = std::stoi(head.second);
  out.fields = head.fields;
  const bool closes = Lower(Find(out.fields, "Connection")) == "close";
  const auto tell = [&] { return !on_body || on_body(out.body); };
  if (Lower(Find(out.fields, "Transfer-Encoding")) == "chunked") {
    while (true) {
      std::size_t line;
      while ((line = to.buffer().find("\r\n")) == std::string::npos) {
        if (fill() != read_end::data) {
          return out;
        }
      }
      const std::size_t size = std::stoul(to.buffer(), nullptr, 16);
      while (to.buffer().size() < line + 2 + size + 2) {
        if (fill() != read_end::data) {
          return out;
        }
      }
      out.body += to.buffer().substr(line + 2, size);
      to.buffer().erase(0, line + 2 + size + 2);
      if (size == 0) {
        out.complete = true;
        out.reusable = !closes;
        return out;
      }
      if (!tell()) {
        return out;
      }
    }
  }
  const std::string length = Find(out.fields, "Content-Length");
  while (true) {
    out.body += to.buffer();
    to.buffer().clear();
    if (!length.empty() && out.body.size() >= std::stoul(length)) {
      to.buffer() = out.body.substr(std::stoul(length));
      out.body.resize(std::stoul(length));
      out.complete = true;
      out.reusable = !closes;
      tell();
      return out;
    }
    if (!tell()) {
      return out;
    }
    const read_end next = fill();
    if (next != read_end::data) {
      out.complete = length.empty() && next == read_end::eof;
      return out;
    }
  }
}

/** Accepts connections and runs a handler for each on a thread of its own. */
class server {
 public:
  using handler = std::function<void(int fd)>;

  server(std::string address, handler on_connection)
      : address_(std::move(address)), on_connection_(std::move(on_connection)) {
    Open();
  }
  ~server() { Close(); }
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  const std::string& address() const { return address_; }
  bool IsOpen() const { return open_; }

  void Open() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in at = Address(address_);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(fd, 256) != 0) {
      close(fd);
      return;
    }
    listener_ = fd;
    open_ = true;
    acceptor_ = std::thread([this, fd] { Accept(fd); });
  }

  /** Refuses new connections. */
  void Close() {
    if (open_.exchange(false)) {
      shutdown(listener_, SHUT_RDWR);
      acceptor_.join();
      close(listener_);
    }
  }

 private:
  void Accept(int listener) {
    while (open_) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      SetNoDelay(fd);
      std::thread([this, fd] {
        on_connection_(fd);
        close(fd);
      }).detach();
    }
  }

  std::string address_;
  handler on_connection_;
  std::atomic<bool> open_{false};
  int listener_ = -1;
  std::thread acceptor_;
};

/** The path from a caller to a server; can be cut. */
class path_link {
 public:
  path_link(const std::string& address, std::string to)
      : to_(std::move(to)), server_(address, [this](int fd) { Run(fd); }) {}

  const std::string& address() const { return server_.address(); }

  /** Refuses new connections and resets the open ones. */
  void Cut() {
    cut_ = true;
    server_.Close();
  }
  /** Refuses new connections; what comes on open ones is held up until the path
      heals. */
  void HoldUp() {
    held_ = true;
    server_.Close();
  }
  void Heal() {
    cut_ = false;
    held_ = false;
    server_.Open();
  }

 private:
  static void EndWithReset(int fd) {
    linger abort{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  }

  void Run(int fd) {
    const int other = ConnectTo(to_);
    if (other < 0) {
      EndWithReset(fd);
      return;
    }
    pollfd both[2] = {{fd, POLLIN, 0}, {other, POLLIN, 0}};
    char space[16384];
    bool open = true;
    while (open) {
      if (cut_) {
        EndWithReset(fd);
        EndWithReset(other);
        break;
      }
      if (held_) {
        Sleep(5);
        continue;
      }
      if (poll(both, 2, 10) <= 0) {
        continue;
      }
      for (int i = 0; i < 2 && open; ++i) {
        if ((both[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
          continue;
        }
        const ssize_t count = recv(both[i].fd, space, sizeof(space), 0);
        if (count > 0) {
          open = SendAll(both[1 - i].fd,
                         std::string(space, static_cast<std::size_t>(count)));
        } else {
          // An orderly end stays one, and so does a reset.
          if (count < 0) {
            EndWithReset(both[1 - i].fd);
          }
          open = false;
        }
      }
    }
    close(other);
  }

  std::string to_;
  std::atomic<bool> cut_{false};
  std::atomic<bool> held_{false};
  server server_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_NET_H_
