#ifndef GENTIAN_DECISIONS_CALLER_AUTHENTICATOR_H_
#define GENTIAN_DECISIONS_CALLER_AUTHENTICATOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "gentian_decisions/caller_identity.h"
#include "gentian_decisions/cluster_view.h"

namespace gentian {

/** Authenticates callers by API key and finds the team of each key. */
class caller_authenticator {
 public:
  /** @param cluster  source of the settings; must outlive this object */
  explicit caller_authenticator(const cluster_view& cluster)
      : cluster_(cluster) {}

  /** Identifies a caller by the API key that it presented.

      @returns  the caller's team and key hash, or an error of kind
                unauthorized or key_withdrawn
  */
  result<caller_identity> Authenticate(const std::string& key) const;

  /** Checks that an identity established by another daemon is valid here.

      @returns  an error of kind unauthorized or key_withdrawn if it is not
  */
  std::optional<error> Reauthenticate(const caller_identity& caller) const;

  /** Rejects a key from now on, even if the settings grant it. Ignores a key
      that the settings do not grant: it is rejected anyway and may be granted
      later.
  */
  void Withdraw(const std::string& key_hash);

 private:
  const team_settings* TeamOf(const std::string& key_hash) const;

  const cluster_view& cluster_;
  std::set<std::string> withdrawn_;
  mutable std::map<std::string, team_id> teams_by_hash_;
  mutable std::optional<std::uint64_t> indexed_version_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALLER_AUTHENTICATOR_H_
