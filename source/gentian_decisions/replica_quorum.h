#ifndef GENTIAN_DECISIONS_REPLICA_QUORUM_H_
#define GENTIAN_DECISIONS_REPLICA_QUORUM_H_

#include <cstddef>

namespace gentian {

/** Replicas of a shard in a fleet that is large enough. */
constexpr std::size_t kReplicas = 3;

/** Acknowledgements that commit a record with a number of replicas. */
constexpr std::size_t AcksNeeded(std::size_t replicas) {
  return replicas >= 2 ? 2 : replicas;
}

/** Promises that an adoption needs. Together with AcksNeeded more than the
    number of replicas, so that each committed record is found. One is needed
    also without replicas: then nothing can be adopted.
*/
constexpr std::size_t FencesNeeded(std::size_t replicas) {
  return replicas >= kReplicas ? 2 : 1;
}

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_REPLICA_QUORUM_H_
