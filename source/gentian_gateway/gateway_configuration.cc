#include "gentian_gateway/gateway_configuration.h"

#include <algorithm>
#include <utility>

namespace gentian {

gateway_configuration::gateway_configuration(parts content)
    : content_(std::move(content)) {
  for (std::size_t i = 0; i < content_.routes.size(); ++i) {
    routes_by_host_[content_.routes[i].host].push_back(i);
  }
  // Longest prefix first, so that the first match is the answer.
  for (auto& [host, routes] : routes_by_host_) {
    std::sort(routes.begin(), routes.end(),
              [this](std::size_t a, std::size_t b) {
                return content_.routes[a].prefix.size() >
                       content_.routes[b].prefix.size();
              });
  }
  for (std::size_t i = 0; i < content_.teams.size(); ++i) {
    for (const std::string& key : content_.teams[i].keys) {
      team_by_key_[key] = i;
    }
  }
  for (std::size_t i = 0; i < content_.services.size(); ++i) {
    service_by_name_[content_.services[i].name] = i;
  }
}

const gateway_route* gateway_configuration::FindRoute(
    std::string_view host,
    std::string_view path) const {
  const auto found = routes_by_host_.find(std::string(host));
  if (found == routes_by_host_.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const gateway_route& route = content_.routes[index];
    if (path.substr(0, route.prefix.size()) == route.prefix) {
      return &route;
    }
  }
  return nullptr;
}

std::vector<std::vector<std::string>> gateway_configuration::HomesOf(
    std::string_view host) const {
  std::vector<std::vector<std::string>> homes;
  const auto found = routes_by_host_.find(std::string(host));
  if (found == routes_by_host_.end()) {
    return homes;
  }
  for (const std::size_t index : found->second) {
    if (!content_.routes[index].allowed_regions.empty()) {
      homes.push_back(content_.routes[index].allowed_regions);
    }
  }
  return homes;
}

const gateway_team* gateway_configuration::FindTeamByKey(
    const std::string& key) const {
  const auto found = team_by_key_.find(key);
  return found == team_by_key_.end() ? nullptr : &content_.teams[found->second];
}

const gateway_team* gateway_configuration::FindTeam(
    const std::string& name) const {
  const auto found =
      std::find_if(content_.teams.begin(), content_.teams.end(),
                   [&](const gateway_team& team) { return team.name == name; });
  return found == content_.teams.end() ? nullptr : &*found;
}

const gateway_service* gateway_configuration::FindService(
    const std::string& name) const {
  const auto found = service_by_name_.find(name);
  return found == service_by_name_.end() ? nullptr
                                         : &content_.services[found->second];
}

}  // namespace gentian
