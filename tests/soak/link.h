#ifndef TESTS_SOAK_LINK_H_
#define TESTS_SOAK_LINK_H_

#include <atomic>
#include <string>

#include "connection_server.h"

namespace gentian::soak {

/** The path from one host to one server. How a connection ends is passed on: an
    orderly end as one, a reset as a reset. */
class link {
 public:
  explicit link(std::string server);

  const std::string& address() const { return server_.address(); }

  /** Refuses new connections and resets the open ones. */
  void Cut();
  /** Refuses new connections; what is on its way over open ones waits. */
  void HoldUp();
  void Heal();
  /** The server has ended: its port is closed. Open connections go on. */
  void OnServerEnded();
  /** Resets the open connections. */
  void Reset();

 private:
  void Carry(int client);

  const std::string to_;
  std::atomic<bool> is_held_{false};
  std::atomic<bool> has_ended_{false};
  std::atomic<int> resets_{0};
  connection_server server_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_LINK_H_
