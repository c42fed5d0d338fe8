// Sockets and HTTP/1.1 messages of the stand-ins. One thread a connection.
#ifndef REVIEW_STAND_INS_2_NET_H_
#define REVIEW_STAND_INS_2_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline clock_type::time_point TestStart() {
  static const clock_type::time_point start = clock_type::now();
  return start;
}

inline long long NowMs() {
  return std::chrono::duration_cast<ms>(clock_type::now() - TestStart())
      .count();
}

inline long long UnixMs() {
  return std::chrono::duration_cast<ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void Sleep(long long milliseconds) {
  if (milliseconds > 0) {
    std::this_thread::sleep_for(ms(milliseconds));
  }
}

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct message {
  // Of a request.
  std::string method;
  std::string target;
  // Of an answer; 0 if there was none.
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  // The whole body came.
  bool is_whole = false;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? "" : found->second;
  }
  std::string Path() const { return target.substr(0, target.find('?')); }
};

inline bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = ::send(socket, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

// Adds what comes to `input`; false at the end, after a failure or at the
// deadline.
inline bool Receive(int socket, std::string& input,
                    clock_type::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<ms>(deadline - clock_type::now()).count();
  pollfd ready{socket, POLLIN, 0};
  if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char space[16384];
  const ssize_t size = ::recv(socket, space, sizeof(space), 0);
  if (size <= 0) {
    return false;
  }
  input.append(space, static_cast<std::size_t>(size));
  return true;
}

// Reads the header of a message; false if none came.
inline bool ReadHead(int socket, std::string& input, message& out,
                     clock_type::time_point deadline) {
  std::size_t end;
  while ((end = input.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(socket, input, deadline)) {
      return false;
    }
  }
  const std::string head = input.substr(0, end + 2);
  input.erase(0, end + 4);
  std::size_t start = head.find("\r\n");
  const std::string first = head.substr(0, start);
  if (first.rfind("HTTP/", 0) == 0) {
    out.status = std::atoi(first.c_str() + first.find(' '));
  } else {
    const std::size_t space = first.find(' ');
    const std::size_t next = first.find(' ', space + 1);
    out.method = first.substr(0, space);
    out.target = first.substr(space + 1, next - space - 1);
  }
  start += 2;
  while (start < head.size()) {
    const std::size_t line_end = head.find("\r\n", start);
    const std::string line = head.substr(start, line_end - start);
    start = line_end + 2;
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      out.headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
  }
  return true;
}

// Reads the body of a message. Sets is_whole if its end came.
inline void ReadBody(int socket, std::string& input, message& out,
                     clock_type::time_point deadline) {
  if (Lower(out.Header("Transfer-Encoding")) == "chunked") {
    while (true) {
      std::size_t line;
      while ((line = input.find("\r\n")) == std::string::npos) {
        if (!Receive(socket, input, deadline)) {
          return;
        }
      }
      const std::size_t size = std::stoul(input.substr(0, line), nullptr, 16);
      while (input.size() < line + 2 + size + 2) {
        if (!Receive(socket, input, deadline)) {
          const std::size_t there =
              std::min(size, input.size() - line - 2);
          out.body += input.substr(line + 2, there);
          return;
        }
      }
      out.body += input.substr(line + 2, size);
      input.erase(0, line + 2 + size + 2);
      if (size == 0) {
        out.is_whole = true;
        return;
      }
    }
  }
  const std::string length = out.Header("Content-Length");
  if (length.empty() && out.status != 0) {
    while (Receive(socket, input, deadline)) {
    }
    out.body = input;
    input.clear();
    return;
  }
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (input.size() < size) {
    if (!Receive(socket, input, deadline)) {
      out.body = input;
      return;
    }
  }
  out.body = input.substr(0, size);
  input.erase(0, size);
  out.is_whole = true;
}

inline sockaddr_in AddressOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(
      static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

inline int Connect(const std::string& address) {
  const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = AddressOf(address);
  if (::connect(out, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    ::close(out);
    return -1;
  }
  const int on = 1;
  ::setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return out;
}

// A port of the loopback address that is free now, and the `more` ports after
// it. They lie below the ports that the kernel gives to outgoing connections.
inline int FreePort(int more = 0) {
  constexpr int kLowest = 20'000;
  constexpr int kCount = 12'000;
  static std::mutex mutex;
  static int next = static_cast<int>(::getpid()) * 37 % kCount;
  const std::lock_guard<std::mutex> lock(mutex);
  for (int tries = 0; tries < kCount; ++tries) {
    const int first = kLowest + next;
    next = (next + more + 1) % (kCount - more);
    std::vector<int> sockets;
    bool all = true;
    for (int i = 0; i <= more && all; ++i) {
      sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      const sockaddr_in at =
          AddressOf("127.0.0.1:" + std::to_string(first + i));
      all = ::bind(sockets.back(), reinterpret_cast<const sockaddr*>(&at),
                   sizeof(at)) == 0;
    }
    for (const int socket : sockets) {
      ::close(socket);
    }
    if (all) {
      return first;
    }
  }
  throw std::runtime_error("no free port");
}

// A server. The handler answers one request on the socket; false closes the
// connection.
class server {
 public:
  using handler = std::function<bool(int socket, const message& request)>;

  server(std::string address, handler answer)
      : address_(std::move(address)), answer_(std::move(answer)) {
    Open();
  }
  ~server() { Close(); }

  const std::string& address() const { return address_; }

  // Ends the listener and all connections, as the end of a process does.
  void Close() {
    if (listener_ < 0) {
      return;
    }
    closing_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    listener_ = -1;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const int socket : sockets_) {
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    while (open_ > 0) {
      Sleep(1);
    }
  }

  void Open() {
    closing_ = false;
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = AddressOf(address_);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&at),
               sizeof(at)) != 0 ||
        ::listen(listener_, 256) != 0) {
      throw std::runtime_error("cannot listen on " + address_);
    }
    acceptor_ = std::thread([this] { Accept(); });
  }

  bool is_closing() const { return closing_; }

 private:
  void Accept() {
    while (!closing_) {
      const int socket =
          ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        Sleep(1);
        continue;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        sockets_.insert(socket);
      }
      ++open_;
      std::thread([this, socket] {
        Serve(socket);
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          sockets_.erase(socket);
        }
        ::close(socket);
        --open_;
      }).detach();
    }
  }

  void Serve(int socket) {
    std::string input;
    while (!closing_) {
      message request;
      if (!ReadHead(socket, input, request,
                    clock_type::now() + std::chrono::seconds(60))) {
        return;
      }
      ReadBody(socket, input, request,
               clock_type::now() + std::chrono::seconds(10));
      if (!request.is_whole || closing_ || !answer_(socket, request)) {
        return;
      }
    }
  }

  std::string address_;
  handler answer_;
  int listener_ = -1;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::atomic<int> open_{0};
  std::atomic<bool> closing_{false};
};

inline std::string Answer(int status, const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Chunk(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// A client that keeps its connection for many requests.
class kept_client {
 public:
  explicit kept_client(std::string address) : address_(std::move(address)) {}
  ~kept_client() { Close(); }

  message Get(const std::string& target,
              const std::vector<std::string>& headers, ms limit) {
    message answer;
    if (socket_ < 0) {
      socket_ = Connect(address_);
    }
    if (socket_ < 0) {
      return answer;
    }
    std::string text = "GET " + target + " HTTP/1.1\r\n";
    for (const std::string& line : headers) {
      text += line + "\r\n";
    }
    const auto deadline = clock_type::now() + limit;
    if (SendAll(socket_, text + "\r\n") &&
        ReadHead(socket_, input_, answer, deadline)) {
      ReadBody(socket_, input_, answer, deadline);
    }
    if (!answer.is_whole || Lower(answer.Header("Connection")) == "close") {
      Close();
    }
    return answer;
  }

 private:
  void Close() {
    if (socket_ >= 0) {
      ::close(socket_);
    }
    socket_ = -1;
    input_.clear();
  }

  std::string address_;
  int socket_ = -1;
  std::string input_;
};

// Sends one request on a new connection and reads its answer.
inline message Call(const std::string& address, const std::string& method,
                    const std::string& target,
                    const std::vector<std::string>& headers,
                    const std::string& body, ms limit) {
  message answer;
  const int socket = Connect(address);
  if (socket < 0) {
    return answer;
  }
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const std::string& line : headers) {
    text += line + "\r\n";
  }
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n" + body;
  const auto deadline = clock_type::now() + limit;
  std::string input;
  if (SendAll(socket, text) && ReadHead(socket, input, answer, deadline)) {
    ReadBody(socket, input, answer, deadline);
  }
  ::close(socket);
  return answer;
}

}  // namespace review

#endif  // REVIEW_STAND_INS_2_NET_H_
