#ifndef GENTIAN_DECISIONS_CALLER_AUTHENTICATOR_H_
#define GENTIAN_DECISIONS_CALLER_AUTHENTICATOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "gentian_decisions/caller_identity.h"
#include "gentian_decisions/cluster_view.h"

namespace gentian {

/** Finds the team that a key belongs to. */
class caller_authenticator {
 public:
  /** @param cluster  source of the settings; must outlive this object */
  explicit caller_authenticator(const cluster_view& cluster)
      : cluster_(cluster) {}

  /** Identifies a caller by the key that it presented.

      @returns  its team, or unauthorized or key_withdrawn
  */
  result<caller_identity> Authenticate(const std::string& key) const;

  /** Checks an identity that another daemon established. */
  std::optional<error> Reauthenticate(const caller_identity& caller) const;

  /** Refuses a key from now on, even while the settings grant it. A key that
      the settings do not grant is refused anyway, and may be granted again.
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
