#ifndef TESTS_SOAK_PRODUCT_PROCESS_H_
#define TESTS_SOAK_PRODUCT_PROCESS_H_

#include <cstddef>
#include <memory>
#include <string>

#include "gentian_core/gentian_core.h"
#include "judge.h"
#include "process_instance.h"

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

/** The product on a host of its own: one process, or two in a hand-over. They
    are killed when the object or the thread that started them ends. Reports a
    process that ends by itself. */
class product_process {
 public:
  product_process(process_options options, judge& seen);
  ~product_process();
  product_process(const product_process&) = delete;
  product_process& operator=(const product_process&) = delete;

  const std::string& host() const { return options_.host; }
  std::size_t memory() const { return options_.memory; }
  std::string caller_address() const;
  bool is_gateway() const { return options_.role == "gateway"; }

  /** @param binary  the build that runs from now on */
  void Start(const std::string& binary, const process_limits& limits = {});
  /** As Start, with the settings file as it is. */
  void StartWithoutSettings(const std::string& binary);
  /** Starts a process beside the one that is there, which was asked to stop. */
  void StartSuccessor(const std::string& binary);
  /** Writes the first part of the settings file in place.

      @param share  of the whole, 0 to 1 */
  void WriteSettings(double share) const;
  /** Appends empty lines to the log up to a size in bytes. */
  void FillLog(std::size_t size) const;
  void Signal(int number) const;
  void Kill();
  /** The process that was started last; nothing after a kill. */
  const std::shared_ptr<process_instance>& current() const { return current_; }
  /** True while a process runs, its predecessor included. */
  bool IsRunning();
  /** True while a process runs that was asked to stop before a hand-over. */
  bool HasPredecessor();
  /** Reports what has ended by itself. True if the process that was started
      last has. */
  bool CheckEnds();
  /** Resident memory of the largest process in bytes; 0 if none runs. */
  std::size_t ResidentMemory() const;
  /** Waits until it answers that it is ready. */
  bool AwaitReady(milliseconds limit) const;

 private:
  std::string SettingsPath() const;
  std::string LogPath() const;
  std::string SettingsText() const;
  void Launch(const std::string& binary, const process_limits& limits);
  bool CheckEnd(const std::shared_ptr<process_instance>& subject,
                const char* part);
  std::string LastLines() const;

  const process_options options_;
  judge& seen_;
  bool has_started_ = false;
  std::shared_ptr<process_instance> current_;
  std::shared_ptr<process_instance> predecessor_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_PRODUCT_PROCESS_H_
