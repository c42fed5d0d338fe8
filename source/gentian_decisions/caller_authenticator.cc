#include "gentian_decisions/caller_authenticator.h"

#include "gentian_decisions/session_errors.h"

namespace gentian {

const team_settings* caller_authenticator::TeamOf(
    const std::string& key_hash) const {
  const configuration& settings = cluster_.settings();
  if (indexed_version_ != settings.version) {
    teams_by_hash_.clear();
    for (const auto& [id, team] : settings.teams) {
      for (const std::string& hash : team.key_hashes) {
        teams_by_hash_[hash] = id;
      }
    }
    indexed_version_ = settings.version;
  }
  const auto found = teams_by_hash_.find(key_hash);
  if (found == teams_by_hash_.end()) {
    return nullptr;
  }
  const auto team = settings.teams.find(found->second);
  return team == settings.teams.end() ? nullptr : &team->second;
}

void caller_authenticator::Withdraw(const std::string& key_hash) {
  if (TeamOf(key_hash) != nullptr) {
    withdrawn_.insert(key_hash);
  }
}

result<caller_identity> caller_authenticator::Authenticate(
    const std::string& key) const {
  if (key.empty()) {
    return session_errors::Unauthorized();
  }
  caller_identity caller;
  caller.key_hash = Sha256Hex(key);
  if (withdrawn_.count(caller.key_hash) > 0) {
    return session_errors::KeyWithdrawn(call_outcome::not_run);
  }
  const team_settings* team = TeamOf(caller.key_hash);
  if (team == nullptr) {
    return session_errors::Unauthorized();
  }
  caller.team = team->id;
  return caller;
}

std::optional<error> caller_authenticator::Reauthenticate(
    const caller_identity& caller) const {
  if (withdrawn_.count(caller.key_hash) > 0) {
    return session_errors::KeyWithdrawn(call_outcome::not_run);
  }
  const team_settings* team = TeamOf(caller.key_hash);
  if (team == nullptr || team->id != caller.team) {
    return session_errors::Unauthorized();
  }
  return std::nullopt;
}

}  // namespace gentian
