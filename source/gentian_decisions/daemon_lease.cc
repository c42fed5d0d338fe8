#include "gentian_decisions/daemon_lease.h"

namespace gentian {

namespace {

// The epoch stands in the registration itself or in its incarnation.
std::uint64_t EpochOf(const json& registration) {
  for (const char* path : {"/epoch", "/id/epoch", "/incarnation/epoch"}) {
    const json::json_pointer pointer(path);
    if (registration.contains(pointer)) {
      return registration.at(pointer).get<std::uint64_t>();
    }
  }
  return 0;
}

}  // namespace

bool HoldsLease(const incarnation& owner, const kv_answer& registration) {
  if (registration.entries.empty()) {
    return false;
  }
  try {
    const std::uint64_t epoch =
        EpochOf(json::parse(registration.entries.front().value));
    return epoch == 0 || epoch == owner.epoch;
  } catch (const json::exception&) {
    return true;
  }
}

}  // namespace gentian
