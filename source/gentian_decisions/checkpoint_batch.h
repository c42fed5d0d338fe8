#ifndef GENTIAN_DECISIONS_CHECKPOINT_BATCH_H_
#define GENTIAN_DECISIONS_CHECKPOINT_BATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gentian_decisions/session_messages.h"

namespace gentian {

/** Changes of the sessions of one shard, as one value of the key-value service
    under `/checkpoint/<shard>/<batch>`.
*/
struct checkpoint_batch {
  incarnation owner;
  /** Generation of the owner that wrote the batch. */
  std::uint64_t generation = 0;
  /** Time between the oldest change in the batch and its writing. */
  milliseconds age{0};
  /** Records of sessions, in their order, without gaps within the batch. */
  std::vector<session_copy> sessions;
  /** Sessions of earlier batches that have ended. */
  std::vector<session_id> ended;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(checkpoint_batch,
                                   owner,
                                   generation,
                                   age,
                                   sessions,
                                   ended)

/** Prefix of the keys of all batches of a shard. */
std::string CheckpointPrefix(const shard_id& shard);

/** Key of a batch: 12 digits, of which the first four are the generation. Two
    owners of a shard therefore never write the same key.
*/
std::string CheckpointKey(const shard_id& shard,
                          std::uint64_t generation,
                          std::uint64_t batch);

/** Writes a batch as CBOR. */
std::string EncodeCheckpoint(const checkpoint_batch& batch);

/** Reads what EncodeCheckpoint wrote. */
result<checkpoint_batch> DecodeCheckpoint(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CHECKPOINT_BATCH_H_
