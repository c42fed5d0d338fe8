#ifndef GENTIAN_ADAPTERS_PREFIX_CACHE_FAKE_H_
#define GENTIAN_ADAPTERS_PREFIX_CACHE_FAKE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** The prefix cache of a fake engine: bounded, least recently used first
    out, with numbered change events. Not thread-safe.
*/
class prefix_cache_fake {
 public:
  /** @param capacity  tokens that fit */
  explicit prefix_cache_fake(std::uint64_t capacity) : capacity_(capacity) {}

  /** Tokens held for a session. */
  std::uint64_t Held(const std::string& session) const;

  /** Stores a session's prefix and evicts others until it fits. */
  void Store(const std::string& session, std::uint64_t tokens);

  /** Drops a session's prefix. */
  void Release(const std::string& session);

  std::uint64_t total() const { return total_; }

  /** All holdings with the number of the last event. */
  json Listing() const;

  /** Kept events after a number, oldest first. */
  json EventsAfter(std::uint64_t number) const;

 private:
  struct holding {
    std::string session;
    std::uint64_t tokens = 0;
  };

  void Record(const char* change, const holding& changed);

  std::uint64_t capacity_;
  std::uint64_t total_ = 0;
  std::uint64_t last_number_ = 0;
  std::list<holding> holdings_;
  std::deque<json> events_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_PREFIX_CACHE_FAKE_H_
