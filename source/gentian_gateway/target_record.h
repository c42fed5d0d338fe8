#ifndef GENTIAN_GATEWAY_TARGET_RECORD_H_
#define GENTIAN_GATEWAY_TARGET_RECORD_H_

#include <cstdint>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** The record under which a target registers itself. */
struct target_record {
  /** Meant to identify one start of the target, but a restart may reuse it. */
  std::string id;
  std::string service;
  /** `ip:port`. */
  std::string address;
  std::string failure_domain;
  /** Version of the target's software. Streams can't change to another one. */
  std::string version;
  /** Unix time of its start in milliseconds; 0 if not reported. */
  std::uint64_t started_at_ms = 0;
  /** Requests that it processes concurrently. */
  int slots = 1;
  /** The target accepts no new requests and will exit. */
  bool draining = false;
  /** Time for which the target stays cold, from the writing of the record; the
      maximum if the record has a value that can't be read. */
  milliseconds cold_left{0};
  /** Version of the entry in the key-value service. */
  std::uint64_t entry_version = 0;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_RECORD_H_
