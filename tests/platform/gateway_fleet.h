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
      : first(std::move(handler), withdrawal_bound),
        withdrawal_bound_(withdrawal_bound) {
    for (std::size_t i = 1; i < size; ++i) {
      others_.push_back(std::make_unique<gateway>(first, i, withdrawal_bound));
    }
    AwaitMembers();
  }

  ~gateway_fleet() { StopPools(); }

  std::size_t size() const { return others_.size() + 1; }

  /** Ends all handlers, before the variables of a test that they use. */
  void StopPools() {
    for (const auto& other : others_) {
      if (other->pool) {
        other->pool->Stop();
      }
    }
    if (restarted_first_) {
      restarted_first_->pool->Stop();
    }
    first.daemon_pool.Stop();
    first.pool.Stop();
  }

  /** Ends a gateway, other than the first, as a kill does: it answers nothing,
      and its record stays. */
  void Kill(std::size_t index) { others_[index - 1]->pool->Stop(); }

  /** As Kill, and closes the gateway's sockets, so that connections to it are
      refused. */
  void KillAndClose(std::size_t index) {
    Kill(index);
    others_[index - 1]->daemon.reset();
    others_[index - 1]->pool.reset();
  }

  /** Ends all gateways as a kill does, and starts as many under their names.
     The first one of them no longer is the one of the fixture. */
  void KillAndRestartAll() {
    const std::size_t count = size();
    first.daemon_pool.Stop();
    if (restarted_first_) {
      others_.push_back(std::move(restarted_first_));
    }
    for (std::unique_ptr<gateway>& other : std::exchange(others_, {})) {
      other->pool->Stop();
      killed_.push_back(std::move(other));
    }
    const std::size_t offset = kRestartOffset * ++restarts_;
    restarted_first_ =
        std::make_unique<gateway>(first, offset, withdrawal_bound_, HostOf(0));
    for (std::size_t i = 1; i < count; ++i) {
      others_.push_back(std::make_unique<gateway>(
          first, offset + i, withdrawal_bound_, HostOf(i)));
    }
    AwaitMembers();
  }

  /** Starts another gateway. */
  void Add() {
    others_.push_back(
        std::make_unique<gateway>(first, size(), withdrawal_bound_));
    AwaitMembers();
  }

  /** Waits until all gateways know each other. */
  void AwaitMembers() {
    cr_assert(WaitFor([this] {
      for (std::size_t i = 0; i < size(); ++i) {
        if (KnownMembers(i) != size()) {
          return false;
        }
      }
      return true;
    }));
  }

  /** The host name of the gateway with this index. */
  static std::string HostOf(std::size_t index) {
    return index == 0 ? gateway_fixture::Settings(0).host
                      : "host-" + std::to_string(index);
  }

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
        : gateway(shared, index, withdrawal_bound, HostOf(index)) {}

    gateway(gateway_fixture& shared,
            std::size_t index,
            milliseconds withdrawal_bound,
            const std::string& host)
        : settings(SettingsAt(index, withdrawal_bound, host)),
          store_client(shared.store, *pool) {
      daemon = std::make_unique<gateway_daemon>(
          *pool, store_client, shared.protocol, settings,
          "start-" + std::to_string(index + 1) + "-" + host);
      cr_assert(!Failed(daemon->Start()));
    }

    static gateway_settings SettingsAt(std::size_t index,
                                       milliseconds withdrawal_bound,
                                       const std::string& host) {
      const int offset = static_cast<int>(index) * 100;
      gateway_settings settings =
          gateway_fixture::Settings(offset, withdrawal_bound);
      settings.host = host;
      return settings;
    }

    gateway_settings settings;
    std::unique_ptr<io_pool> pool = std::make_unique<io_pool>(1);
    fake_store_client store_client;
    std::unique_ptr<gateway_daemon> daemon;
  };

  // Ports of restarted gateways are those of gateways with higher indices.
  static constexpr std::size_t kRestartOffset = 20;

  gateway_settings SettingsOf(std::size_t index) const {
    if (index > 0) {
      return others_[index - 1]->settings;
    }
    return restarted_first_ ? restarted_first_->settings
                            : gateway_fixture::Settings(0);
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

  milliseconds withdrawal_bound_;
  std::vector<std::unique_ptr<gateway>> others_;
  std::unique_ptr<gateway> restarted_first_;
  std::size_t restarts_ = 0;
  std::vector<std::unique_ptr<gateway>> killed_;
};

}  // namespace gentian::testing

#endif  // TESTS_PLATFORM_GATEWAY_FLEET_H_
