#include "gentian_gateway_daemon/refusal.h"

#include <array>

namespace gentian {

namespace {

struct reason_row {
  refusal_reason reason;
  const char* name;
  int status;
};

// Statuses 429 and 503 promise that the request has not run and never will.
constexpr std::array<reason_row, 25> kReasons = {{
    {refusal_reason::malformed, "malformed", 400},
    {refusal_reason::too_large, "too_large", 413},
    {refusal_reason::unknown_key, "unknown_key", 401},
    {refusal_reason::unknown_route, "unknown_route", 404},
    {refusal_reason::over_allowance, "over_allowance", 429},
    {refusal_reason::allowance_unavailable, "allowance_unavailable", 503},
    {refusal_reason::budget_spent, "budget_spent", 402},
    {refusal_reason::stale_configuration, "stale_configuration", 503},
    {refusal_reason::budget_unavailable, "budget_unavailable", 503},
    {refusal_reason::unknown_turn, "unknown_turn", 404},
    {refusal_reason::history_unavailable, "history_unavailable", 503},
    {refusal_reason::stream_origin_unknown, "stream_origin_unknown", 503},
    {refusal_reason::stream_software_gone, "stream_software_gone", 503},
    {refusal_reason::overloaded, "overloaded", 503},
    {refusal_reason::no_target, "no_target", 503},
    {refusal_reason::home_unavailable, "home_unavailable", 503},
    {refusal_reason::targets_full, "targets_full", 503},
    {refusal_reason::targets_limited, "targets_limited", 503},
    {refusal_reason::blocked_request, "blocked_request", 503},
    {refusal_reason::too_late, "too_late", 503},
    {refusal_reason::stopping, "stopping", 503},
    {refusal_reason::no_memory, "no_memory", 503},
    {refusal_reason::target_timeout, "target_timeout", 504},
    {refusal_reason::target_failed, "target_failed", 502},
    {refusal_reason::turn_not_kept, "turn_not_kept", 502},
}};

const reason_row& RowOf(refusal_reason reason) {
  return kReasons[static_cast<std::size_t>(reason)];
}

}  // namespace

const char* NameOf(refusal_reason reason) {
  return RowOf(reason).name;
}

int HttpStatusOf(refusal_reason reason) {
  return RowOf(reason).status;
}

}  // namespace gentian
