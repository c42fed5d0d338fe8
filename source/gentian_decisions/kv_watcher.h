#ifndef GENTIAN_DECISIONS_KV_WATCHER_H_
#define GENTIAN_DECISIONS_KV_WATCHER_H_

#include <cstdint>
#include <string>

#include "gentian_decisions/backoff.h"
#include "gentian_decisions/kv_access.h"

namespace gentian {

/** Follows the changes below a prefix of the key-value service and misses
    none: each watch resumes after the revision up to which the previous answer
    was complete. When the service does not keep that revision any more, the
    owner reads everything again.
*/
class kv_watcher {
 public:
  /** Receives changes. */
  class listener {
   public:
    virtual ~listener() = default;

    /** All keys with the prefix have to be read and compared. Afterwards the
        listener calls kv_watcher::Follow, or ReadFailed.
    */
    virtual void ReadAll(kv_watcher& watcher, node_context& context) = 0;

    /** Keys have changed or were deleted. */
    virtual void KeysChanged(kv_watcher& watcher,
                             const kv_answer& changes,
                             node_context& context) = 0;
  };

  /** Creates a watcher that does nothing before its first tick.

      @param kv      access to the service; must outlive the watcher
      @param prefix  keys to follow
      @param owner   receives the changes; must outlive the watcher
  */
  kv_watcher(kv_access& kv, std::string prefix, listener& owner);

  kv_watcher(const kv_watcher&) = delete;
  kv_watcher& operator=(const kv_watcher&) = delete;

  /** Starts reading or watching when it is time to. */
  void Tick(node_context& context);

  /** Everything up to a revision has been read; changes after it follow. */
  void Follow(std::uint64_t revision, node_context& context);

  /** Reading everything has failed; it is tried again after a while. */
  void ReadFailed(node_context& context);

 private:
  enum class state { must_read, reading, must_watch, watching };

  void Watch(node_context& context);
  void Handle(const kv_answer& answer, node_context& context);
  void Delay(node_context& context);

  kv_access& kv_;
  std::string prefix_;
  listener& owner_;
  state state_ = state::must_read;
  std::uint64_t revision_ = 0;
  backoff delay_{milliseconds(100), milliseconds(5'000)};
  steady_time not_before_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_KV_WATCHER_H_
