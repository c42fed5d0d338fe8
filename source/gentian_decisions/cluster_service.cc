#include "gentian_decisions/cluster_service.h"

#include <utility>

namespace gentian {

namespace {

constexpr milliseconds kFreshFor{5'000};
// Below the freshness limit by more than one read of the next slot.
constexpr milliseconds kHeardRecently{2'500};

const route_settings* FindRoute(const configuration& settings,
                                const std::string& path) {
  const route_settings* longest = nullptr;
  for (const route_settings& route : settings.routes) {
    const bool matches =
        path.compare(0, route.prefix.size(), route.prefix) == 0;
    if (matches && (!longest || route.prefix.size() > longest->prefix.size())) {
      longest = &route;
    }
  }
  return longest;
}

bool NeedsKey(const configuration& settings,
              const caller_operation& operation) {
  if (std::holds_alternative<list_addresses>(operation)) {
    return false;
  }
  const auto* call = std::get_if<plain_call>(&operation);
  if (!call) {
    return true;
  }
  const route_settings* route = FindRoute(settings, call->path);
  return !route || !route->open_to_all;
}

bool MayRun(const configuration& settings,
            const team_id& team,
            const program_id& program) {
  const auto found = settings.teams.find(team);
  return found != settings.teams.end() &&
         found->second.programs.count(program) > 0;
}

}  // namespace

cluster_service::cluster_service(node_identity identity,
                                 configuration initial,
                                 settings_tree tree,
                                 configuration_builder builder)
    : members_(kv_, std::move(identity)),
      store_(
          kv_,
          config_log(std::move(initial), std::move(tree), std::move(builder))),
      withdrawals_(kv_,
                   keys_,
                   [this](const std::string& key_hash, node_context& context) {
                     KeyEnded(key_hash, context);
                   }),
      operators_(kv_, members_, store_, withdrawals_) {
  keys_.SetGranted(settings());
}

void cluster_service::KeyEnded(const std::string& key_hash,
                               node_context& context) {
  if (listener_) {
    listener_->KeyWithdrawn(key_hash, context);
  }
}

membership::heartbeat_facts cluster_service::Facts() const {
  return {settings().version, withdrawals_.digest()};
}

config_store::fleet cluster_service::StoreView(steady_time now) const {
  return {self().host, members_.neighbours(),
          members_.HeardMajority(kHeardRecently, now)};
}

withdrawal_store::fleet cluster_service::WithdrawalView() const {
  return {self().host, members_.neighbours(), members_.Live()};
}

void cluster_service::Handle(const tick& input, node_context& context) {
  if (!started_) {
    started_ = true;
    members_.UseSettings(settings(), context.now);
    kv_.SetDaemonCount(settings().daemons.size());
  }
  kv_.Handle(input, context);
  if (members_.Tick(Facts(), context) && listener_) {
    listener_->IncarnationChanged(context);
  }
  TickStore(context);
  withdrawals_.Tick(WithdrawalView(), context);
  operators_.Tick(context);
}

void cluster_service::TickStore(node_context& context) {
  if (store_.Tick(StoreView(context.now), context)) {
    UseSettings(context);
  }
}

void cluster_service::UseSettings(node_context& context) {
  const std::vector<std::string> ended = keys_.SetGranted(settings());
  members_.UseSettings(settings(), context.now);
  kv_.SetDaemonCount(settings().daemons.size());
  context.counters.Add("config.versions");
  if (listener_) {
    listener_->ConfigurationChanged(context);
  }
  for (const std::string& key_hash : ended) {
    KeyEnded(key_hash, context);
  }
}

// A new version takes effect in the step in which it becomes known.
void cluster_service::Handle(const kv_answered& input, node_context& context) {
  kv_.Handle(input, context);
  TickStore(context);
}

void cluster_service::Handle(const host_list_received& input,
                             node_context& /*context*/) {
  members_.Handle(input);
}

void cluster_service::Handle(const admin_request& input,
                             node_context& context) {
  operators_.Handle(input, context);
}

bool cluster_service::Handle(const peer_received& input,
                             node_context& context) {
  members_.HeardFrom(input.from, context.now);
  return std::visit(
      [&](const auto& message) { return Take(input.from, message, context); },
      input.message);
}

bool cluster_service::Take(const incarnation& /*from*/,
                           const heartbeat& m,
                           node_context& c) {
  members_.Handle(m, Facts(), c);
  store_.VersionSeen(m.sender.host, m.config_version, c);
  withdrawals_.DigestSeen(m.sender.host, m.withdrawn_digest, c);
  return true;
}

bool cluster_service::Take(const incarnation& from,
                           const config_update& m,
                           node_context& c) {
  store_.Handle(from.host, m, c);
  TickStore(c);
  return true;
}

bool cluster_service::Take(const incarnation& from,
                           const config_request& m,
                           node_context& c) {
  store_.Handle(from.host, m, c);
  return true;
}

bool cluster_service::Take(const incarnation& from,
                           const keys_withdrawn& m,
                           node_context& c) {
  withdrawals_.Handle(from.host, m, WithdrawalView(), c);
  return true;
}

bool cluster_service::Take(const incarnation& from,
                           const keys_withdrawn_confirmed& m,
                           node_context& /*c*/) {
  withdrawals_.Handle(from.host, m);
  return true;
}

bool cluster_service::Take(const incarnation& from,
                           const rollout_request& m,
                           node_context& c) {
  operators_.Handle(from.host, m, c);
  return true;
}

bool cluster_service::Take(const incarnation& from,
                           const rollout_answer& m,
                           node_context& /*c*/) {
  operators_.Handle(from.host, m);
  return true;
}

void cluster_service::AddStatus(const std::string& name,
                                std::function<json()> source) {
  operators_.AddStatus(name, std::move(source));
}

void cluster_service::StartDraining(node_context& context) {
  members_.StartDraining(Facts(), context);
}

void cluster_service::Leave(node_context& context) {
  members_.Leave(Facts(), context);
}

result<caller_identity> cluster_service::Authenticate(
    const std::string& key,
    const caller_operation& operation) const {
  if (key.empty() && !NeedsKey(settings(), operation)) {
    return caller_identity{};
  }
  result<caller_identity> caller = keys_.Check(key);
  const auto* open = std::get_if<open_session>(&operation);
  if (Failed(caller) || !open) {
    return caller;
  }
  if (!MayRun(settings(), ValueOf(caller).team, open->program)) {
    return error{error_kind::forbidden,
                 "the team may not run this agent program",
                 "ask the operators to add the program to the team"};
  }
  return caller;
}

bool cluster_service::IsKeyValid(const std::string& key_hash) const {
  return keys_.IsValid(key_hash);
}

std::optional<error> cluster_service::CheckReady(steady_time now) const {
  if (!store_.ready()) {
    return error{error_kind::not_ready,
                 "the daemon has not read the configuration yet",
                 "retry after a second, or at another address"};
  }
  const auto& answered = kv_.last_answer();
  const bool service = answered && now - *answered < kFreshFor;
  const bool fresh = service || members_.HeardMajority(kFreshFor, now);
  if (!fresh || store_.IsBehind(kFreshFor, now)) {
    return error{error_kind::stale_configuration,
                 "the daemon can not tell whether its configuration is current",
                 "retry at another address"};
  }
  return std::nullopt;
}

json cluster_service::AddressList() const {
  json addresses = json::array();
  for (const member& daemon : members_.Live()) {
    if (members_.TakesCallers(daemon.id.host)) {
      addresses.push_back(daemon.caller_address);
    }
  }
  return json{{"addresses", addresses},
              {"expires_in_ms", settings().fleet.address_ttl.count()}};
}

}  // namespace gentian
