#ifndef GENTIAN_SETTINGS_BUDGET_REQUEST_H_
#define GENTIAN_SETTINGS_BUDGET_REQUEST_H_

#include <cstdint>
#include <optional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Limits that a caller states for a new session. A limit that is not stated
    is as large as the team's settings and the parent's rest allow.

    @see budget_limits
*/
struct budget_request {
  std::optional<std::uint64_t> tokens;
  std::optional<std::uint64_t> calls;
  std::optional<std::uint64_t> time_ms;
  std::optional<std::uint64_t> cost_micros;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(budget_request,
                                                tokens,
                                                calls,
                                                time_ms,
                                                cost_micros)

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_BUDGET_REQUEST_H_
