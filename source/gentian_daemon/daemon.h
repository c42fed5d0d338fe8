#ifndef GENTIAN_DAEMON_DAEMON_H_
#define GENTIAN_DAEMON_DAEMON_H_

#include <memory>
#include <string>

#include "gentian_adapters/host_list.h"
#include "gentian_adapters/key_value_store.h"
#include "gentian_adapters/target_gateway.h"
#include "gentian_daemon/daemon_options.h"
#include "gentian_decisions/initial_settings.h"
#include "gentian_net/io_pool.h"

namespace gentian {

/** The outside systems of a daemon. All must outlive it. */
struct daemon_platform {
  key_value_store* key_values = nullptr;
  target_gateway* targets = nullptr;
  host_list* hosts = nullptr;
};

/** One daemon: a supervisor tree around the decision loop. */
class daemon {
 public:
  /** @param initial  configuration to start with; version 0 if the daemon
                      reads it from the key-value service
  */
  daemon(daemon_options options,
         initial_settings initial,
         io_pool& pool,
         daemon_platform platform);
  /** Stops at once if it still runs. The pool must have been stopped before,
      because handlers of open calls refer to the daemon.
  */
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  /** Starts all parts. */
  result<success> Start();

  /** Begins a graceful shutdown. */
  void RequestStop();

  /** Waits until the daemon has stopped.

      @returns  an error if a part failed too often or requests were cut off
  */
  result<success> WaitUntilStopped();

  /** Address of the callers' interface, with the real port. */
  std::string caller_address() const;

  /** Address of the administration API, empty if it is off. */
  std::string admin_address() const;

 private:
  class parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_DAEMON_H_
