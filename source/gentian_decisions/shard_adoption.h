#ifndef GENTIAN_DECISIONS_SHARD_ADOPTION_H_
#define GENTIAN_DECISIONS_SHARD_ADOPTION_H_

#include <map>
#include <memory>
#include <vector>

#include "gentian_decisions/session.h"
#include "gentian_decisions/session_messages.h"
#include "gentian_decisions/shard_record.h"

namespace gentian {

/** Collects the copies of a shard from its fenced replicas and merges them. */
class shard_adoption {
 public:
  /** @param record  as it was written for this adoption; it names the replicas
                     of the previous owner */
  shard_adoption(shard_id shard, shard_record record);

  /** Takes a page of copies from a replica. */
  void Take(const incarnation& from, const fence_promise& page);

  /** Requests for pages that are missing, one for each replica. */
  std::vector<fence_request> Missing() const;

  /** True if enough replicas have promised and sent all their copies. */
  bool IsFenced() const;

  /** Builds the sessions from the copies. For each session the copy of the
      highest generation counts, then the longest: a longer copy of a lower
      generation can end in records that were never acknowledged.
  */
  std::vector<std::unique_ptr<session>> Merge(steady_time now) const;

  /** Builds the sessions from checkpoints and from the copies that have
      arrived, with the same preference.
  */
  std::vector<std::unique_ptr<session>> Restore(
      const std::vector<session_copy>& checkpoints,
      steady_time now) const;

  const shard_record& record() const { return record_; }

 private:
  struct answer {
    session_id after;
    bool complete = false;
    std::vector<session_copy> copies;
  };

  static std::vector<std::unique_ptr<session>> Build(
      const std::vector<const session_copy*>& copies,
      steady_time now);

  shard_id shard_;
  shard_record record_;
  std::map<incarnation, answer> answers_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARD_ADOPTION_H_
