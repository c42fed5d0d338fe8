#ifndef GENTIAN_GATEWAY_TARGET_CRASH_H_
#define GENTIAN_GATEWAY_TARGET_CRASH_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** The end of a connection to a target that was running a request. */
struct target_crash {
  /** `request_fingerprint::content` of the request. */
  std::string content;
  std::string target;
  /** `target_record::started_at_ms` of the target. */
  std::uint64_t target_start = 0;
  /** When the request was sent. */
  steady_time sent_at;
  /** When the connection ended. */
  steady_time ended_at;
  /** The target had sent a part of the answer. */
  bool has_answered_partly = false;
  /** Targets that the service had, this one included. */
  std::size_t service_targets = 0;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_CRASH_H_
