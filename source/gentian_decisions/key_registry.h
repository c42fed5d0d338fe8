#ifndef GENTIAN_DECISIONS_KEY_REGISTRY_H_
#define GENTIAN_DECISIONS_KEY_REGISTRY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "gentian_decisions/caller_identity.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** Granted and withdrawn keys, by their SHA-256. */
class key_registry {
 public:
  /** Replaces the granted keys.

      @returns the hashes that were granted before and are not any more
  */
  std::vector<std::string> SetGranted(const configuration& settings);

  /** Adds a hash to the withdrawn set, which only grows.

      @returns true if it was not in the set
  */
  bool Withdraw(const std::string& key_hash);

  /** Finds whom a key belongs to. Does the same work for known, unknown and
      withdrawn keys, so that the time tells nothing about the stored hashes.
  */
  result<caller_identity> Check(const std::string& key) const;

  /** True if a caller with this key hash may continue. */
  bool IsValid(const std::string& key_hash) const;

  /** All withdrawn hashes. */
  const std::set<std::string>& withdrawn() const { return withdrawn_; }

 private:
  std::map<std::string, team_id> granted_;
  std::set<std::string> withdrawn_;
};

/** True if the text is a SHA-256 in lower-case hexadecimal. */
bool IsKeyHash(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_KEY_REGISTRY_H_
