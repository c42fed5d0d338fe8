#include "deployment.h"

#include <unistd.h>

#include <optional>
#include <utility>

namespace gentian::soak {

namespace {

constexpr const char* kTargetPrefix = "servers/";
// A crashed target is listed until its entry expires.
constexpr milliseconds kExpiry{3'600};
constexpr milliseconds kDrainTime{3'500};
constexpr milliseconds kReadyLimit{20'000};
constexpr int kByte = 256;
constexpr int kFirstStore = 100;

// A loopback address for each host. Rigs that run at once have others.
std::string HostAddress(int number) {
  const int process = ::getpid();
  return "127." + std::to_string(process / kByte % kByte) + "." +
         std::to_string(process % kByte) + "." + std::to_string(number + 2);
}

std::string FailureDomain(int number) {
  constexpr int kDomains = 3;
  return "z" + std::to_string(number % kDomains + 1);
}

}  // namespace

deployment::deployment(const deployment_size& size,
                       const std::string& binary,
                       const std::string& folder,
                       judge& seen)
    : seen_(seen),
      store_(
          pool_,
          [this](const std::string& host,
                 const std::string& key,
                 const std::string& value) { return See(host, key, value); }) {
  Configure();
  for (int i = 0; i < size.models; ++i) {
    StartEngine("models", "v1");
  }
  for (int i = 0; i < size.services; ++i) {
    StartEngine("services", "v1");
  }
  Tick();
  for (int i = 0; i < size.stores; ++i) {
    const std::string host = "store-" + std::to_string(i + 1);
    stores_.push_back(std::make_unique<product_process>(
        process_options{"turn-store", host, FailureDomain(i),
                        HostAddress(kFirstStore + i), store_.Serve(host),
                        folder, size.memory},
        seen_));
    stores_.back()->Start(binary);
  }
  for (int i = 0; i < size.gateways; ++i) {
    const std::string host = "gateway-" + std::to_string(i + 1);
    store_links_.push_back(std::make_unique<link>(store_.Serve(host)));
    gateways_.push_back(std::make_unique<product_process>(
        process_options{"gateway", host, FailureDomain(i), HostAddress(i),
                        store_links_.back()->address(), folder, size.memory},
        seen_));
    gateways_.back()->Start(binary);
  }
}

deployment::~deployment() {
  gateways_.clear();
  stores_.clear();
  pool_.Stop();
}

bool deployment::AwaitReady() {
  for (const auto& gateway : gateways_) {
    if (!gateway->AwaitReady(kReadyLimit)) {
      return false;
    }
  }
  return true;
}

void deployment::Configure() {
  const auto route = [](const char* name, const char* kind, const char* service,
                        int timeout_ms) {
    return json{{"name", name},
                {"host", "h"},
                {"prefix", std::string("/") + name + "/"},
                {"kind", kind},
                {"resumable", std::string(kind) == "streaming"},
                {"sticky", std::string(kind) == "streaming"},
                {"timeout_ms", timeout_ms},
                {"target_latency_ms", 200},
                {"gap_aim_ms", 250},
                {"attempts", 1},
                {"priority", 0},
                {"service", service}};
  };
  constexpr int kStreamTimeoutMs = 3'000;
  constexpr int kOnceTimeoutMs = 1'500;
  store_.Put(
      "op/config",
      json{{"version", 7},
           {"routes",
            {route("turn", "streaming", "models", kStreamTimeoutMs),
             route("once", "non_idempotent", "services", kOnceTimeoutMs)}},
           {"services",
            {{{"name", "models"}, {"engine", {{"tokens_per_event", 8}}}},
             {{"name", "services"}}}},
           {"limits", json::object()},
           {"tenants", {{{"name", "team"}, {"api_keys", {"k"}}}}}}
          .dump());
}

std::string deployment::See(const std::string& host,
                            const std::string& key,
                            const std::string& value) {
  const std::string prefix = kTargetPrefix;
  if (key.rfind(prefix, 0) != 0 || host.rfind("gateway", 0) != 0) {
    return value;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string id = key.substr(prefix.size());
  const auto found = engines_.find(id);
  if (found == engines_.end()) {
    return value;
  }
  std::unique_ptr<link>& path = links_[host][id];
  if (!path) {
    path = std::make_unique<link>(found->second.server->address());
    if (const auto change = link_states_[host]) {
      ((*path).*change)();
    }
  }
  return found->second.server->Entry(path->address());
}

std::vector<product_process*> deployment::Hosts() const {
  std::vector<product_process*> all;
  for (const auto* hosts : {&gateways_, &stores_}) {
    for (const auto& host : *hosts) {
      all.push_back(host.get());
    }
  }
  return all;
}

std::vector<product_process*> deployment::BeyondMemory() {
  std::vector<product_process*> beyond;
  for (product_process* host : Hosts()) {
    if (host->memory() > 0 && host->ResidentMemory() > host->memory()) {
      beyond.push_back(host);
    }
  }
  return beyond;
}

void deployment::SetTargetLinks(std::size_t gateway, void (link::*change)()) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string& host = gateways_[gateway]->host();
  link_states_[host] = change == &link::Heal ? nullptr : change;
  for (const auto& [id, path] : links_[host]) {
    ((*path).*change)();
  }
}

void deployment::ResetTargetLinks(std::size_t gateway) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [id, path] : links_[gateways_[gateway]->host()]) {
    path->Reset();
  }
}

std::vector<engine*> deployment::Engines(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<engine*> found;
  for (const auto& [id, next] : engines_) {
    if (!next.ends_at && next.server->service() == service) {
      found.push_back(next.server.get());
    }
  }
  return found;
}

void deployment::StartEngine(const std::string& service,
                             const std::string& version) {
  const std::uint64_t number = ++last_engine_;
  const std::string id = "i-" + std::to_string(number);
  auto server = std::make_unique<engine>(id, service, version, number, seen_);
  const std::lock_guard<std::mutex> lock(mutex_);
  engines_[id].server = std::move(server);
}

void deployment::CrashEngine(engine& subject) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [host, paths] : links_) {
    if (const auto path = paths.find(subject.id()); path != paths.end()) {
      path->second->OnServerEnded();
    }
  }
  subject.Crash();
  engines_.at(subject.id()).ends_at = BootTimeNow() + kExpiry;
}

void deployment::DrainEngine(engine& subject) {
  subject.SetDraining();
  const std::lock_guard<std::mutex> lock(mutex_);
  running_engine& leaving = engines_.at(subject.id());
  leaving.leaves = true;
  leaving.ends_at = BootTimeNow() + kDrainTime;
}

void deployment::Tick() {
  std::vector<std::pair<std::string, std::string>> entries;
  std::vector<std::string> removed;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const steady_time now = BootTimeNow();
    for (auto next = engines_.begin(); next != engines_.end();) {
      running_engine& subject = next->second;
      if (!subject.ends_at || now < *subject.ends_at) {
        entries.emplace_back(next->first,
                             subject.server->Entry(subject.server->address()));
        ++next;
        continue;
      }
      removed.push_back(next->first);
      if (subject.leaves) {
        subject.server->Leave();
      }
      ended_.push_back(std::move(subject.server));
      next = engines_.erase(next);
    }
  }
  for (const auto& [id, entry] : entries) {
    store_.Put(kTargetPrefix + id, entry);
  }
  for (const std::string& id : removed) {
    store_.Remove(kTargetPrefix + id);
  }
}

}  // namespace gentian::soak
