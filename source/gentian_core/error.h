#ifndef GENTIAN_CORE_ERROR_H_
#define GENTIAN_CORE_ERROR_H_

#include <optional>
#include <string>
#include <utility>

#include "gentian_core/json.h"
#include "gentian_core/steady_time.h"

namespace gentian {

/** Kinds of errors that reach a caller or an operator. */
enum class error_kind {
  malformed_request,
  too_large,
  unauthorized,
  key_withdrawn,
  forbidden,
  unknown_session,
  unknown_route,
  out_of_order,
  idempotency_mismatch,
  budget_spent,
  rate_limited,
  overloaded,
  stale_configuration,
  not_ready,
  moved,
  draining,
  outcome_unknown,
  session_restored,
  target_failed,
  target_timeout,
  conflict,
  invalid_settings,
  unavailable,
  internal,
};

/** What is known about the execution of the call that failed. */
enum class call_outcome { not_run, unknown, done };

/** A typed error. The message says what happened, the remedy what to do. */
struct error {
  static constexpr const char* kType = "error";

  error_kind kind = error_kind::internal;
  std::string message;
  std::string remedy;
  call_outcome outcome = call_outcome::not_run;
  std::optional<milliseconds> retry_after = std::nullopt;
};

/** The stable name of an error kind, as used in JSON and counters. */
const char* NameOf(error_kind kind);

/** The stable name of an outcome: "not_run", "unknown" or "done". */
const char* NameOf(call_outcome outcome);

/** The HTTP status code that carries an error kind. */
int HttpStatusOf(error_kind kind);

/** Serializes the error as callers receive it.
    @see error
*/
void to_json(json& out, const error& value);

/** Reads an error that was written by to_json. Unknown names give
    error_kind::internal and call_outcome::unknown.
*/
void from_json(const json& in, error& value);

}  // namespace gentian

#endif  // GENTIAN_CORE_ERROR_H_
