#ifndef TESTS_SOAK_CONNECTION_SERVER_H_
#define TESTS_SOAK_CONNECTION_SERVER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace gentian::soak {

/** Accepts connections and serves each on a thread of its own. Can be closed
    and opened again at the same address. */
class connection_server {
 public:
  /** Serves one connection; it is closed afterwards. */
  using handler = std::function<void(int socket)>;

  explicit connection_server(handler serve);
  ~connection_server();
  connection_server(const connection_server&) = delete;
  connection_server& operator=(const connection_server&) = delete;

  const std::string& address() const { return address_; }
  bool IsOpen() const { return is_open_; }

  void Open();
  /** Refuses new connections; open ones go on. */
  void Close();
  /** Ends all open connections, in order as for a killed process or, if
      `with_reset`, with resets. */
  void EndConnections(bool with_reset);

 private:
  void Accept(int listener);
  void Serve(int socket);

  handler serve_;
  std::string address_;
  std::atomic<bool> is_open_{false};
  int listener_ = -1;
  std::thread accepting_;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::atomic<int> serving_{0};
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_CONNECTION_SERVER_H_
