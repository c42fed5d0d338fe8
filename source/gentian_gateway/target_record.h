#ifndef GENTIAN_GATEWAY_TARGET_RECORD_H_
#define GENTIAN_GATEWAY_TARGET_RECORD_H_

#include <cstdint>
#include <string>

namespace gentian {

/** A target as it describes itself in the list of targets. */
struct target_record {
  /** Names one start of the target, but a restart may use it again. */
  std::string id;
  std::string service;
  /** `ip:port`. */
  std::string address;
  std::string failure_domain;
  /** Unix time of its start in milliseconds; 0 if it does not tell. */
  std::uint64_t started_at_ms = 0;
  /** Requests that it works on at the same time. */
  int slots = 1;
  /** It takes no new work and will end. */
  bool draining = false;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_RECORD_H_
