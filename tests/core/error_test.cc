#include <criterion/criterion.h>

#include "gentian_core/gentian_core.h"

using gentian::call_outcome;
using gentian::error;
using gentian::error_kind;
using gentian::json;
using gentian::milliseconds;

// Guards against an error that changes its meaning on the way between daemons.
Test(error, json_round_trip_keeps_all_fields) {
  const error original{error_kind::rate_limited, "over the rate", "retry later",
                       call_outcome::not_run, milliseconds(250)};
  const auto copy = json(original).get<error>();
  cr_assert(copy.kind == original.kind);
  cr_assert(copy.message == original.message);
  cr_assert(copy.remedy == original.remedy);
  cr_assert(copy.outcome == original.outcome);
  cr_assert(copy.retry_after == original.retry_after);
}

// Guards against reporting "not run" for an unrecognized outcome.
Test(error, unreadable_outcome_is_unknown) {
  const auto copy = json{{"kind", "overloaded"}}.get<error>();
  cr_assert(copy.outcome == call_outcome::unknown);
}
