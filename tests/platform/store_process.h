#ifndef TESTS_PLATFORM_STORE_PROCESS_H_
#define TESTS_PLATFORM_STORE_PROCESS_H_

#include <criterion/criterion.h>

#include <atomic>
#include <memory>
#include <string>

#include "gentian_turn_daemon/turn_store_daemon.h"
#include "platform/gateway_fixture.h"
#include "platform/platform.h"
#include "platform/platform_fakes.h"

namespace gentian::testing {

constexpr int kFirstStorePort = 17'800;

/** A turn store in this process. */
class store_process {
 public:
  store_process(fake_metadata_store& store,
                int number,
                const std::string& path,
                bool first_start)
      : address(ProcessAddress(kFirstStorePort + number)),
        store_client(store, pool) {
    turn_store_settings settings;
    settings.host = "store-" + std::to_string(number);
    settings.failure_domain = "z" + std::to_string(number);
    settings.address = address;
    settings.data_directory = path;
    settings.first_start = first_start;
    static std::atomic<int> starts{0};
    daemon = std::make_unique<turn_store_daemon>(
        pool, store_client, protocol, settings, std::to_string(++starts));
    cr_assert(!Failed(daemon->Start()));
  }
  // As after a kill: nothing is deregistered.
  ~store_process() { pool.Stop(); }

  const std::string address;
  io_pool pool{1};
  fake_store_client store_client;
  platform_protocol protocol;
  std::unique_ptr<turn_store_daemon> daemon;
};

}  // namespace gentian::testing

#endif  // TESTS_PLATFORM_STORE_PROCESS_H_
