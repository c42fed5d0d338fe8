#ifndef GENTIAN_DECISIONS_SHARD_RECORD_H_
#define GENTIAN_DECISIONS_SHARD_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Owner and replicas of a shard, as stored in the key-value service under
    `/shard/<shard>`.
*/
struct shard_record {
  enum class state { active, adopting };

  incarnation owner;
  std::uint64_t generation = 0;
  state phase = state::active;
  std::vector<incarnation> replicas;
  /** True once sessions were restored from checkpoints: a session that is not
      found may then have been lost. */
  bool restored = false;
};

NLOHMANN_JSON_SERIALIZE_ENUM(shard_record::state,
                             {{shard_record::state::adopting, "adopting"},
                              {shard_record::state::active, "active"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(shard_record,
                                   owner,
                                   generation,
                                   phase,
                                   replicas,
                                   restored)

/** Key of a shard's record in the key-value service. */
inline std::string ShardKey(const shard_id& shard) {
  return "/shard/" + shard.text();
}

/** Parses a stored record; an `internal` error if it is damaged. */
result<shard_record> ParseShardRecord(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_RECORD_H_
