#include "gentian_decisions/cluster_service.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

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
    : identity_(std::move(identity)),
      settings_(std::move(initial)),
      tree_(std::move(tree)),
      builder_(std::move(builder)),
      self_{identity_.host, 1} {
  keys_.SetGranted(settings_);
}

member cluster_service::SelfAsMember() const {
  member self;
  self.id = self_;
  self.failure_domain = identity_.failure_domain;
  self.peer_address = identity_.peer_address;
  self.caller_address = identity_.caller_address;
  self.has_data_folder = identity_.has_data_folder;
  return self;
}

std::vector<member> cluster_service::LiveMembers() const {
  std::vector<member> members;
  for (const auto& [host, daemon] : settings_.daemons) {
    members.push_back(*FindMember(host));
  }
  if (settings_.daemons.count(self_.host) == 0) {
    members.push_back(SelfAsMember());
  }
  std::sort(members.begin(), members.end(),
            [](const member& a, const member& b) { return a.id < b.id; });
  return members;
}

std::optional<member> cluster_service::FindMember(const host_id& host) const {
  if (host == self_.host) {
    return SelfAsMember();
  }
  const auto found = settings_.daemons.find(host);
  if (found == settings_.daemons.end()) {
    return std::nullopt;
  }
  const daemon_settings& daemon = found->second;
  member other;
  other.id = incarnation{host, 1};
  other.failure_domain = daemon.failure_domain;
  other.peer_address = daemon.peer_address;
  other.caller_address = daemon.caller_address;
  other.has_data_folder = daemon.has_data_folder;
  return other;
}

bool cluster_service::IsAlive(const incarnation& id) const {
  const std::optional<member> found = FindMember(id.host);
  return found && found->id == id;
}

result<caller_identity> cluster_service::Authenticate(
    const std::string& key,
    const caller_operation& operation) const {
  if (key.empty() && !NeedsKey(settings_, operation)) {
    return caller_identity{};
  }
  result<caller_identity> caller = keys_.Check(key);
  const auto* open = std::get_if<open_session>(&operation);
  if (Failed(caller) || !open) {
    return caller;
  }
  if (!MayRun(settings_, ValueOf(caller).team, open->program)) {
    return error{error_kind::forbidden,
                 "the team may not run this agent program",
                 "ask the operators to add the program to the team"};
  }
  return caller;
}

bool cluster_service::IsKeyValid(const std::string& key_hash) const {
  return keys_.IsValid(key_hash);
}

std::optional<error> cluster_service::CheckReady(steady_time /*now*/) const {
  return std::nullopt;
}

json cluster_service::AddressList() const {
  json addresses = json::array();
  for (const member& daemon : LiveMembers()) {
    addresses.push_back(daemon.caller_address);
  }
  return json{{"addresses", addresses},
              {"expires_in_ms", settings_.fleet.address_ttl.count()}};
}

}  // namespace gentian
