#ifndef GENTIAN_DECISIONS_TARGET_REPORT_H_
#define GENTIAN_DECISIONS_TARGET_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** A load report of a target. It states the load `age` before its receipt. */
struct target_load {
  target_id target;
  /** Time since the measurement, as stated by the target. */
  milliseconds age{0};
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t cached_tokens = 0;
};

/** A change in an engine's prefix cache. Event numbers increase by one; a gap
    means that events were lost.
*/
struct target_cache_event {
  enum class change { stored, evicted };

  target_id target;
  std::uint64_t number = 0;
  change kind = change::stored;
  session_id session;
  std::uint64_t tokens = 0;
};

/** Tokens that an engine's cache holds for one session. */
struct cache_holding {
  session_id session;
  std::uint64_t tokens = 0;
};

/** All contents of an engine's cache, after cache event `number`. */
struct target_cache_listing {
  target_id target;
  std::uint64_t number = 0;
  std::vector<cache_holding> holdings;
};

/** One row of the platform's list of hosts. */
struct host_list_entry {
  /** Host of a daemon or id of a target. */
  std::string name;
  bool leaving = false;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_TARGET_REPORT_H_
