#include "gentian_decisions/kv_operation.h"

#include <array>

namespace gentian {

namespace {

// In the order of kv_answer::status.
constexpr std::array<const char*, 6> kStatusNames = {
    {"ok", "conflict", "lease_expired", "compacted", "no_answer", "not_sent"}};

}  // namespace

const char* NameOf(kv_answer::status status) {
  return kStatusNames[static_cast<std::size_t>(status)];
}

}  // namespace gentian
