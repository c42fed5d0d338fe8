#ifndef GENTIAN_DECISIONS_CHECKPOINT_SHARD_H_
#define GENTIAN_DECISIONS_CHECKPOINT_SHARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "gentian_decisions/checkpoint_batch.h"
#include "gentian_decisions/session.h"

namespace gentian {

/** What the checkpoints of one shard hold, as its owner has written them in
    one generation: which records are saved and which batches are needed.
*/
class checkpoint_shard {
 public:
  /** @param generation  of the owner, written into each batch */
  checkpoint_shard(incarnation owner, std::uint64_t generation)
      : owner_(std::move(owner)), generation_(generation) {}

  /** A session as the owner holds it. */
  struct source {
    const session* state = nullptr;
    std::uint64_t committed = 0;
  };

  /** A stored batch that can be deleted. */
  struct stored {
    std::uint64_t number = 0;
    std::uint64_t version = 0;
  };

  /** Packs what has changed since the last batch.

      @param sessions  all sessions of the shard that have not ended
      @param bytes     upper bound of the size
      @returns  nothing if nothing has changed
  */
  std::optional<checkpoint_batch> Pack(const std::vector<source>& sessions,
                                       std::size_t bytes,
                                       steady_time now,
                                       counter_set& counters);

  /** The number of the next batch. */
  std::uint64_t next() const { return next_; }

  /** Notes that a batch is stored under the next number. */
  void Saved(const checkpoint_batch& batch, std::uint64_t version);

  /** A batch that holds nothing that is still needed. */
  std::optional<stored> Obsolete() const;

  /** Gives up the next number, which somebody else has written. */
  void SkipNumber() { ++next_; }

  /** Notes that a batch was deleted, or is not there any more. */
  void Deleted(std::uint64_t number) { batches_.erase(number); }

  /** True if no batch is stored. */
  bool IsEmpty() const { return batches_.empty(); }

  std::uint64_t generation() const { return generation_; }

  /** True if these batches alone hold all sessions. */
  bool IsComplete() const { return complete_; }

 private:
  struct session_state {
    std::uint64_t saved = 0;
    /** Batches from this one on hold the whole session. */
    std::uint64_t first_batch = 0;
    /** While the session is saved anew: where that began, and the number of
        records that the older batches hold. */
    std::uint64_t new_first_batch = 0;
    std::uint64_t known = 0;
    /** A record does not fit into a batch; nothing after it can be saved. */
    bool stuck = false;
  };
  struct batch_state {
    std::uint64_t version = 0;
    std::size_t bytes = 0;
    std::set<session_id> sessions;
    std::vector<session_id> ended;
  };

  void FindEnded(const std::vector<source>& sessions);
  bool IsHeld(const session_id& session) const;
  void Compact();
  bool IsNeeded(std::uint64_t number, const batch_state& batch) const;
  bool HoldsLive(std::uint64_t number, const batch_state& batch) const;
  bool IsHeldBesideLive(const session_id& session) const;
  std::size_t Append(const source& from,
                     std::size_t room,
                     steady_time now,
                     checkpoint_batch& batch,
                     counter_set& counters);

  std::map<session_id, session_state> sessions_;
  std::map<std::uint64_t, batch_state> batches_;
  /** Sessions that have ended and are in a batch that is still needed. */
  std::set<session_id> ended_;
  incarnation owner_;
  std::uint64_t generation_;
  std::uint64_t next_ = 1;
  /** True if the batch that was packed last leaves nothing to save. */
  bool packed_all_ = false;
  bool complete_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CHECKPOINT_SHARD_H_
