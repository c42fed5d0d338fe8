#include "gentian_app/dev_environment.h"

#include <utility>

namespace gentian {

namespace {

constexpr const char* kAnyPort = "127.0.0.1:0";
constexpr int kEngines = 2;

}  // namespace

dev_environment::dev_environment(io_pool& pool)
    : pool_(pool), key_values_(pool, values_), tools_(pool) {}

dev_environment::~dev_environment() {
  for (fake_server& next : servers_) {
    next.server->Stop();
  }
}

result<success> dev_environment::Serve(const std::string& name,
                                       http_server::handler handler) {
  auto server = std::make_unique<http_server>(pool_, std::move(handler));
  result<success> listening = server->Listen(kAnyPort);
  servers_.push_back(fake_server{name, std::move(server)});
  return listening;
}

result<success> dev_environment::Start() {
  for (int i = 1; i <= kEngines; ++i) {
    engine_fake_options options;
    options.name = "engine-" + std::to_string(i);
    engines_.push_back(std::make_unique<engine_fake>(pool_, options));
    engine_fake* const engine = engines_.back().get();
    result<success> started =
        Serve(options.name,
              [engine](const auto& exchange) { engine->Serve(exchange); });
    if (Failed(started)) {
      return started;
    }
    hosts_.Set(options.name, false);
  }
  hosts_.Set("tools", false);
  result<success> started =
      Serve("tools", [this](const auto& exchange) { tools_.Serve(exchange); });
  if (Failed(started)) {
    return started;
  }
  started = Serve("key-value service", [this](const auto& exchange) {
    key_values_.Serve(exchange);
  });
  if (Failed(started)) {
    return started;
  }
  return Serve("host list",
               [this](const auto& exchange) { hosts_.Serve(exchange); });
}

settings_tree dev_environment::MakeSettings(
    const std::string& key,
    const daemon_settings& daemon) const {
  const std::string own = "/daemons/" + daemon.host.text();
  std::vector<settings_change> changes{
      {own, "failure_domain", daemon.failure_domain.text()},
      {own, "peer_address", daemon.peer_address},
      {own, "caller_address", daemon.caller_address},
      {"/pools/model", "kind", "engine"},
      {"/pools/model", "model", "dev-model"},
      {"/pools/model", "checks_fencing", "yes"},
      {"/pools/model", "cache_tokens",
       std::to_string(engine_fake_options{}.cache_tokens)},
      {"/pools", "reports_not_run", "yes"},
      {"/pools", "failure_domain", daemon.failure_domain.text()},
      {"/pools/tools", "kind", "tool_service"},
      {"/tools", "pool", "tools"},
      {"/tools/book", "path", "/tools/book"},
      {"/tools/lookup", "path", "/tools/lookup"},
      {"/tools/lookup", "repeatable", "yes"},
      {"/routes/plain", "prefix", "/plain"},
      {"/routes/plain", "pool", "tools"},
      {"/routes/plain", "public", "yes"},
      {"/routes/plain", "repeatable", "yes"},
      {"/programs/assistant", "pool", "model"},
      {"/programs/assistant", "tools", "book, lookup"},
      {"/teams/dev", "programs", "assistant"},
      {"/teams/dev", "rate", "1000/s"},
      {"/teams/dev", "burst", "1000"},
      {"/teams/dev", "key.dev", Sha256Hex(key)},
  };
  for (const auto& [name, address] : Addresses()) {
    const bool engine = name.rfind("engine-", 0) == 0;
    if (engine || name == "tools") {
      const std::string pool = engine ? "/pools/model/" : "/pools/tools/";
      changes.push_back({pool + name, "address", address});
    }
  }
  settings_tree tree;
  tree.Apply(changes);
  return tree;
}

std::vector<std::pair<std::string, std::string>> dev_environment::Addresses()
    const {
  std::vector<std::pair<std::string, std::string>> addresses;
  for (const fake_server& next : servers_) {
    addresses.emplace_back(next.name, next.server->address());
  }
  return addresses;
}

std::string dev_environment::AddressOf(const std::string& name) const {
  for (const auto& [known, address] : Addresses()) {
    if (known == name) {
      return address;
    }
  }
  return {};
}

}  // namespace gentian
