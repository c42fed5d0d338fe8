#ifndef TESTS_PLATFORM_GATEWAY_FIXTURE_H_
#define TESTS_PLATFORM_GATEWAY_FIXTURE_H_

#include <criterion/criterion.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>

#include "gentian_gateway_daemon/gentian_gateway_daemon.h"
#include "platform/platform.h"
#include "platform/platform_fakes.h"
#include "support/synchronous_http.h"

namespace gentian::testing {

/** A loopback address derived from the process id. Tests run in parallel, each
   in its own process, and would otherwise collide on the ports. */
inline std::string ProcessAddress(int port) {
  constexpr int kByte = 256;
  const int process = getpid();
  return "127." + std::to_string(process / kByte % kByte) + "." +
         std::to_string(process % kByte) + ".1:" + std::to_string(port);
}

/** A gateway daemon with one target for the service "s" and the team "t", which
    has the key "k". A second team has the key "k2". */
class gateway_fixture {
 public:
  static constexpr milliseconds kWithdrawalBound{2'000};

  /** @param withdrawal_bound  see gateway_settings; gateways read listings
                               from each other when they are a third as old */
  explicit gateway_fixture(
      fake_target::request_handler handler,
      milliseconds withdrawal_bound = kWithdrawalBound,
      milliseconds stop_grace = gateway_settings().stop_grace)
      : target(pool, std::move(handler)) {
    Configure(R"(["k"])");
    RegisterTarget("i-1", target.address(), "v1");
    gateway_settings settings = Settings(0, withdrawal_bound);
    settings.stop_grace = stop_grace;
    daemon = std::make_unique<gateway_daemon>(daemon_pool, store_client,
                                              protocol, settings, "start-1");
    cr_assert(!Failed(daemon->Start()));
    cr_assert(WaitFor(
        [this] { return Status(readiness_address, "/readiness") == 200; }));
  }

  ~gateway_fixture() {
    daemon_pool.Stop();
    pool.Stop();
  }

  /** Settings of a gateway whose ports are moved by this offset. */
  static gateway_settings Settings(
      int port_offset,
      milliseconds withdrawal_bound = kWithdrawalBound) {
    gateway_settings settings;
    settings.host = "host";
    settings.failure_domain = "z";
    settings.caller_address = ProcessAddress(18368 + port_offset);
    settings.directory_address = ProcessAddress(18360 + port_offset);
    settings.readiness_address = ProcessAddress(18369 + port_offset);
    settings.peer_address = ProcessAddress(17780 + port_offset);
    settings.tunnel_address = ProcessAddress(17781 + port_offset);
    settings.withdrawal_bound = withdrawal_bound;
    settings.region = "south";
    settings.regions = {{"z", "south"}, {"y", "north"}, {"x", "west"}};
    settings.stable_window = milliseconds(3'000);
    return settings;
  }

  /** Registers a target for the service "s". */
  void RegisterTarget(const std::string& id,
                      const std::string& address,
                      const std::string& software_version) {
    store.Put("servers/" + id, TargetEntry(address, software_version));
  }

  static std::string TargetEntry(const std::string& address,
                                 const std::string& software_version) {
    return R"({"service":"s","address":")" + address +
           R"(","zone":"z","slots":4,"state":"ready","seq":1,)"
           R"("born":1,"version":")" +
           software_version + R"("})";
  }

  void Configure(const std::string& keys) {
    store.Put(
        "op/config",
        R"({"version":)" + std::to_string(++version) +
            R"(,"routes":[{"name":"once","host":"h","prefix":"/once/",)"
            R"("kind":"non_idempotent","timeout_ms":2000,"service":"s"},)"
            R"({"name":"again","host":"h","prefix":"/again/",)"
            R"("kind":"idempotent","timeout_ms":2000,"attempts":1,)"
            R"("service":"s"},{"name":"turn","host":"h","prefix":"/turn/",)"
            R"("kind":"streaming","resumable":true,"timeout_ms":3000,)"
            R"("attempts":1,"service":"s"},{"name":"kept","host":"h",)"
            R"("prefix":"/kept/","kind":"streaming","retain_kv":true,)"
            R"("retain_s":60.0,"timeout_ms":3000,"service":"s"}],)"
            R"("limits":{"header_timeout_ms":300,"idle_timeout_ms":1500},)"
            R"("services":[{"name":"s",)"
            R"("engine":{"tokens_per_event":10}}],"tenants":[{"name":"t",)"
            R"("api_keys":)" +
            keys +
            R"(,"rate_per_s":1000,"burst":1000},{"name":"t2","api_keys":)"
            R"(["k2"]}]})");
  }

  http_client_request Request(const std::string& path) const {
    http_client_request request;
    request.address = caller_address;
    request.method = "POST";
    request.target = path;
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", "r-" + path);
    request.headers.Add("X-Api-Key", "k");
    request.headers.Add("Deadline-Ms", "2000");
    return request;
  }

  int Status(const std::string& address, const std::string& path) {
    http_client_request request;
    request.address = address;
    request.target = path;
    return Fetch(client, request).response.status;
  }

  /** The metrics of the gateway. */
  std::string Page() {
    http_client_request request;
    request.address = peer_address;
    request.target = "/metrics";
    return Fetch(client, request).response.body;
  }

  /** The value of a gauge of the metrics page; -1 if it is absent. */
  double Gauge(const std::string& name) {
    const std::string page = Page();
    const std::string line = "\ngentian_" + name + " ";
    const std::size_t at = page.find(line);
    return at == std::string::npos ? -1
                                   : std::stod(page.substr(at + line.size()));
  }

  io_pool pool{2};
  io_pool daemon_pool{1};
  const std::string caller_address = Settings(0).caller_address;
  const std::string directory_address = Settings(0).directory_address;
  const std::string peer_address = Settings(0).peer_address;
  const std::string readiness_address = Settings(0).readiness_address;
  fake_target target;
  fake_metadata_store store;
  fake_store_client store_client{store, daemon_pool};
  platform_protocol protocol;
  int version = 0;
  http_client client{pool};
  std::unique_ptr<gateway_daemon> daemon;
};

}  // namespace gentian::testing

#endif  // TESTS_PLATFORM_GATEWAY_FIXTURE_H_
