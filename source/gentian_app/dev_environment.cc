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

configuration dev_environment::MakeConfiguration(
    const std::string& key,
    const daemon_settings& daemon) const {
  configuration settings;
  settings.version = 1;
  settings.daemons[daemon.host] = daemon;
  const pool_id engine_pool("model");
  const pool_id tool_pool("tools");
  settings.pools[engine_pool] =
      pool_settings{engine_pool, target_kind::engine, "dev-model"};
  settings.pools[tool_pool] =
      pool_settings{tool_pool, target_kind::tool_service, ""};
  for (const auto& [name, address] : Addresses()) {
    target_settings target;
    target.id = target_id(name);
    target.address = address;
    target.reports_not_run = true;
    if (name.rfind("engine-", 0) == 0) {
      target.pool = engine_pool;
      target.cache_tokens = engine_fake_options{}.cache_tokens;
      target.checks_fencing = true;
    } else if (name == "tools") {
      target.pool = tool_pool;
    } else {
      continue;
    }
    settings.targets[target.id] = target;
  }
  settings.tools["book"] = tool_settings{"book", tool_pool, "/tools/book"};
  settings.tools["lookup"] =
      tool_settings{"lookup", tool_pool, "/tools/lookup", true};
  settings.routes.push_back(route_settings{"/plain", tool_pool, true, true});
  program_settings program;
  program.id = program_id("assistant");
  program.pool = engine_pool;
  program.tools = {"book", "lookup"};
  settings.programs[program.id] = program;
  team_settings team;
  team.id = team_id("dev");
  team.key_hashes.insert(Sha256Hex(key));
  team.programs.insert(program.id);
  settings.teams[team.id] = team;
  return settings;
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
