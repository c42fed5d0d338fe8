#ifndef GENTIAN_SETTINGS_BUDGET_LIMITS_H_
#define GENTIAN_SETTINGS_BUDGET_LIMITS_H_

#include <cstdint>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What a session may use in total, sub-agents included. */
struct budget_limits {
  /** Prompt and generated tokens. */
  std::uint64_t tokens = 1'000'000;
  /** Model and tool calls. */
  std::uint64_t calls = 200;
  /** Time from opening to end, in milliseconds. */
  std::uint64_t time_ms = 3'600'000;
  /** Cost in millionths of the deployment's currency unit. */
  std::uint64_t cost_micros = 1'000'000'000;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(budget_limits,
                                                tokens,
                                                calls,
                                                time_ms,
                                                cost_micros)

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_BUDGET_LIMITS_H_
