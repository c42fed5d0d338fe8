#include "gentian_daemon/fleet_snapshot.h"

namespace gentian {

std::map<std::string, std::string> fleet_snapshot::Update(
    const cluster_view& view,
    const std::vector<peer_address>& seeds) {
  // Later sources are newer: a daemon's own registration counts most.
  std::map<std::string, std::string> addresses;
  for (const peer_address& seed : seeds) {
    addresses[seed.host.text()] = seed.address;
  }
  const configuration& settings = view.settings();
  for (const auto& [host, daemon] : settings.daemons) {
    if (!daemon.peer_address.empty()) {
      addresses[host.text()] = daemon.peer_address;
    }
  }
  for (const member& known : view.LiveMembers()) {
    if (!known.peer_address.empty()) {
      addresses[known.id.host.text()] = known.peer_address;
    }
  }
  addresses.erase(view.self().host.text());
  const std::lock_guard<std::mutex> lock(mutex_);
  targets_.clear();
  for (const auto& [id, target] : settings.targets) {
    targets_.push_back(target);
  }
  daemons_ = settings.daemons.size();
  return addresses;
}

std::vector<target_settings> fleet_snapshot::Targets() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return targets_;
}

bool fleet_snapshot::IsAlone() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return daemons_ == 1;
}

}  // namespace gentian
