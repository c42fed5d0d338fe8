#ifndef TESTS_SOAK_DEPLOYMENT_H_
#define TESTS_SOAK_DEPLOYMENT_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "engine.h"
#include "gentian_net/gentian_net.h"
#include "judge.h"
#include "key_value_server.h"
#include "link.h"
#include "product_process.h"

namespace gentian::soak {

/** How many hosts and targets there are. */
struct deployment_size {
  int gateways = 7;
  int stores = 3;
  int models = 11;
  int services = 3;
  /** Memory of each host in bytes. */
  std::size_t memory = 0;
};

/** Gateways and turn stores as real processes, stand-ins of the targets and of
    the key-value service, and the links between them. Processes are started on
    the thread that made it. */
class deployment {
 public:
  deployment(const deployment_size& size,
             const std::string& binary,
             const std::string& folder,
             judge& seen);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  /** Waits until all gateways are ready. */
  bool AwaitReady();

  std::vector<std::unique_ptr<product_process>>& gateways() {
    return gateways_;
  }
  std::vector<std::unique_ptr<product_process>>& stores() { return stores_; }
  /** Gateways and turn stores. */
  std::vector<product_process*> Hosts() const;
  /** The link of a gateway to the key-value service. */
  link& StoreLink(std::size_t gateway) { return *store_links_[gateway]; }
  /** Applies to all links of a gateway to targets, later ones included. */
  void SetTargetLinks(std::size_t gateway, void (link::*change)());
  /** Resets the connections of a gateway to targets. */
  void ResetTargetLinks(std::size_t gateway);

  /** Targets that run and are not leaving. */
  std::vector<engine*> Engines(const std::string& service);
  void CrashEngine(engine& subject);
  void StartEngine(const std::string& service, const std::string& version);
  /** Has a target leave, as a planned replacement does. */
  void DrainEngine(engine& subject);
  /** Processes that use more memory than their host has. */
  std::vector<product_process*> BeyondMemory();
  /** Brings the registrations up to date; called often. */
  void Tick();

 private:
  struct running_engine {
    std::unique_ptr<engine> server;
    /** When it is removed from the registry, once it has crashed; when it ends,
        once it leaves. */
    std::optional<steady_time> ends_at;
    bool leaves = false;
  };

  std::string See(const std::string& host,
                  const std::string& key,
                  const std::string& value);
  void Configure();

  judge& seen_;
  std::atomic<std::uint64_t> last_engine_{0};
  io_pool pool_{2};
  std::mutex mutex_;
  std::map<std::string, running_engine> engines_;
  /** Ended targets, whose threads may still run. */
  std::vector<std::unique_ptr<engine>> ended_;
  /** By gateway and target. */
  std::map<std::string, std::map<std::string, std::unique_ptr<link>>> links_;
  /** How the links of a gateway to targets are now; nullptr if sound. */
  std::map<std::string, void (link::*)()> link_states_;
  key_value_server store_;
  std::vector<std::unique_ptr<link>> store_links_;
  std::vector<std::unique_ptr<product_process>> gateways_;
  std::vector<std::unique_ptr<product_process>> stores_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_DEPLOYMENT_H_
