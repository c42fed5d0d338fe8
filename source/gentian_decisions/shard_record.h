#ifndef GENTIAN_DECISIONS_SHARD_RECORD_H_
#define GENTIAN_DECISIONS_SHARD_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Who owns a shard, as the key-value service stores it under
    `/shard/<shard>`.
*/
struct shard_record {
  enum class state { active, adopting };

  incarnation owner;
  std::uint64_t generation = 0;
  state phase = state::active;
  std::vector<incarnation> replicas;
  /** True if sessions were rebuilt from checkpoints once. A session that is
      not found may have been lost. */
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

/** Reads a stored record; nothing if it can not be read. */
result<shard_record> ParseShardRecord(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_RECORD_H_
