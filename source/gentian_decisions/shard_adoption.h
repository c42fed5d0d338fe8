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

  /** Adds a page of session copies that a replica has sent with its promise.
      Repeated pages and pages of other generations are ignored.
  */
  void AddPage(const incarnation& from, const fence_promise& page);

  /** Requests for the next page, one for each replica with pages left. */
  std::vector<fence_request> MissingPages() const;

  /** True if enough replicas have promised the generation and sent all their
      copies.

      @see FencesNeeded
  */
  bool IsFenced() const;

  /** Builds the sessions from the replicas that have sent all their copies.
      Uses the copy of the highest generation of each session, and the longest
      of these. Generation comes before length because a longer copy of a lower
      generation can end in records that were never acknowledged.
  */
  std::vector<std::unique_ptr<session>> Merge(steady_time now) const;

  /** Builds the sessions from checkpoints and from all copies received so far,
      complete or not. Chooses among the copies as Merge does.
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
