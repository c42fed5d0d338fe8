#ifndef TESTS_PLATFORM_GATEWAY_FLEET_H_
#define TESTS_PLATFORM_GATEWAY_FLEET_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/gateway_fixture.h"

namespace gentian::testing {

/** Several gateway daemons with the store, target and teams of a
    gateway_fixture, which is the first of them. */
class gateway_fleet {
 public:
  gateway_fleet(
      std::size_t size,
      fake_target::request_handler handler,
      milliseconds withdrawal_bound = gateway_fixture::kWithdrawalBound)
      : first(std::move(handler), withdrawal_bound) {
    for (std::size_t i = 1; i < size; ++i) {
      others_.push_back(std::make_unique<gateway>(first, i, withdrawal_bound));
    }
    cr_assert(WaitFor([this] {
      for (std::size_t i = 0; i < this->size(); ++i) {
        if (KnownMembers(i) != this->size()) {
          return false;
        }
      }
      return true;
    }));
  }

  ~gateway_fleet() { StopPools(); }

  std::size_t size() const { return others_.size() + 1; }

  /** Ends all handlers, before the variables of a test that they use. */
  void StopPools() {
    for (const auto& other : others_) {
      other->pool.Stop();
    }
    first.daemon_pool.Stop();
    first.pool.Stop();
  }

  /** Ends a gateway, other than the first, as a kill does: it answers nothing,
      and its record stays. */
  void Kill(std::size_t index) { others_[index - 1]->pool.Stop(); }

  /** A request for the gateway with this index. */
  http_client_request Request(std::size_t index, const std::string& path) {
    http_client_request request = first.Request(path);
    request.address = SettingsOf(index).caller_address;
    return request;
  }

  /** The metrics page of the gateway with this index. */
  std::string Metrics(std::size_t index) {
    http_client_request request;
    request.address = SettingsOf(index).peer_address;
    request.target = "/metrics";
    return Fetch(first.client, request).response.body;
  }

  gateway_fixture first;

 private:
  struct gateway {
    gateway(gateway_fixture& shared,
            std::size_t index,
            milliseconds withdrawal_bound)
        : settings(SettingsAt(index, withdrawal_bound)),
          store_client(shared.store, pool) {
      daemon = std::make_unique<gateway_daemon>(
          pool, store_client, shared.protocol, settings,
          "start-" + std::to_string(index + 1));
      cr_assert(!Failed(daemon->Start()));
    }

    static gateway_settings SettingsAt(std::size_t index,
                                       milliseconds withdrawal_bound) {
      const int offset = static_cast<int>(index) * 100;
      gateway_settings settings =
          gateway_fixture::Settings(offset, withdrawal_bound);
      settings.host = "host-" + std::to_string(index);
      return settings;
    }

    gateway_settings settings;
    io_pool pool{1};
    fake_store_client store_client;
    std::unique_ptr<gateway_daemon> daemon;
  };

  gateway_settings SettingsOf(std::size_t index) const {
    return index == 0 ? gateway_fixture::Settings(0)
                      : others_[index - 1]->settings;
  }

  // Number of gateways to which this one directs callers.
  std::size_t KnownMembers(std::size_t index) {
    http_client_request request;
    request.address = SettingsOf(index).directory_address;
    request.target = "/resolve?name=h";
    const http_response answer = Fetch(first.client, request).response;
    return answer.status == 200
               ? json::parse(answer.body).at("addresses").size()
               : 0;
  }

  std::vector<std::unique_ptr<gateway>> others_;
};

}  // namespace gentian::testing

#endif  // TESTS_PLATFORM_GATEWAY_FLEET_H_
