#ifndef TESTS_SOAK_PRODUCT_PROCESS_H_
#define TESTS_SOAK_PRODUCT_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian::soak {

/** Settings of one host's process. */
struct process_options {
  /** `gateway` or `turn-store`. */
  std::string role;
  std::string host;
  std::string failure_domain;
  /** Loopback address of the host. */
  std::string ip;
  /** Where it reaches the key-value service. */
  std::string store_address;
  /** Folder for its settings, data and log. */
  std::string folder;
  /** Memory of the host in bytes. */
  std::size_t memory = 0;
};

/** A process of the product on a host of its own. It is killed when the object
    or the thread that started it ends. */
class product_process {
 public:
  explicit product_process(process_options options);
  ~product_process();
  product_process(const product_process&) = delete;
  product_process& operator=(const product_process&) = delete;

  const std::string& host() const { return options_.host; }
  std::size_t memory() const { return options_.memory; }
  std::string caller_address() const;

  /** @param binary  the build that runs from now on */
  void Start(const std::string& binary);
  void Signal(int number) const;
  void Kill();
  bool IsRunning();
  /** Resident memory in bytes; 0 if it does not run. */
  std::size_t ResidentMemory() const;
  /** Waits until it answers that it is ready. */
  bool AwaitReady(milliseconds limit) const;

 private:
  std::string SettingsPath() const;
  void WriteSettings() const;

  const process_options options_;
  bool has_started_ = false;
  pid_t id_ = 0;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_PRODUCT_PROCESS_H_
