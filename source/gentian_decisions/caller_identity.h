#ifndef GENTIAN_DECISIONS_CALLER_IDENTITY_H_
#define GENTIAN_DECISIONS_CALLER_IDENTITY_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Caller that a request runs for. The key itself is not stored or sent. */
struct caller_identity {
  /** Empty on a public route without a key. */
  team_id team;
  /** SHA-256 of the presented key, lower-case hexadecimal. */
  std::string key_hash;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(caller_identity, team, key_hash)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALLER_IDENTITY_H_
