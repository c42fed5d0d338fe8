#ifndef GENTIAN_DECISIONS_CHECKPOINT_READER_H_
#define GENTIAN_DECISIONS_CHECKPOINT_READER_H_

#include <functional>
#include <optional>
#include <vector>

#include "gentian_decisions/checkpoint_batch.h"
#include "gentian_decisions/kv_access.h"

namespace gentian {

/** Sessions of a shard as its checkpoints hold them. */
struct checkpoint_contents {
  std::vector<session_copy> sessions;
  /** Longest time that a record waited before it was written. */
  milliseconds oldest{0};
  std::size_t batches = 0;
  /** Batches that could not be read. */
  std::size_t damaged = 0;
};

/** Reads the sessions of a shard from its checkpoints.

    @see checkpoint_writer
*/
class checkpoint_reader {
 public:
  /** Receives the contents, nothing if the service did not answer. */
  using handler = std::function<void(const std::optional<checkpoint_contents>&,
                                     node_context&)>;

  /** @param store  must outlive this object */
  explicit checkpoint_reader(kv_access& store) : store_(store) {}

  /** Reads all batches of a shard. */
  void Read(const shard_id& shard, handler then, node_context& context);

  /** Joins the batches of a shard. Where two owners have written different
      records, the later owner's count.
  */
  static checkpoint_contents Join(std::vector<kv_entry> batches);

 private:
  kv_access& store_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CHECKPOINT_READER_H_
