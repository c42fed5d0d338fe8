#include "gentian_decisions/session_errors.h"

namespace gentian::session_errors {

error UnknownSession() {
  return {error_kind::unknown_session, "there is no such session",
          "open a session and use the id from the answer"};
}

error Unauthorized() {
  return {error_kind::unauthorized, "the key is not known",
          "send a granted key as Authorization: Bearer"};
}

error KeyWithdrawn(call_outcome outcome) {
  return {error_kind::key_withdrawn, "the key was withdrawn",
          "ask the operators for a new key", outcome};
}

error OutOfOrder(std::uint64_t expected, std::uint64_t next) {
  return {error_kind::out_of_order,
          "the request is for call " + std::to_string(expected) +
              ", the next call is " + std::to_string(next),
          "read the history and continue after its last call"};
}

error IdempotencyMismatch() {
  return {error_kind::idempotency_mismatch,
          "the idempotency key was used with another request",
          "use a new key for a new request"};
}

error BudgetSpent(const std::string& limit) {
  return {error_kind::budget_spent,
          "the call does not fit into the session's limit for " + limit,
          "ask for less, or open a session with a larger budget"};
}

error OutcomeUnknown(const std::string& message) {
  return {error_kind::outcome_unknown, message,
          "check at the service whether the call has run",
          call_outcome::unknown};
}

error SessionRestored() {
  return {error_kind::session_restored,
          "the session was restored from a checkpoint, so that the call may "
          "have run before; it is not run again",
          "check at the service whether the call has run, and open a new "
          "session for calls that may not be repeated",
          call_outcome::unknown};
}

error DeadlinePassed(call_outcome outcome) {
  return {error_kind::target_timeout, "the deadline of the call has passed",
          outcome == call_outcome::not_run
              ? "retry later"
              : "read the session's history for a late answer",
          outcome};
}

error NotReady() {
  return {error_kind::not_ready, "the daemon is starting",
          "retry after a second, or at another address"};
}

error Draining() {
  return {error_kind::draining, "the daemon is about to stop",
          "ask for addresses and use another one"};
}

error Moved(const std::string& owner_address, call_outcome outcome) {
  return {error_kind::moved, "the session is owned by another daemon now",
          owner_address.empty()
              ? "repeat the request with the same idempotency key"
              : "repeat the request with the same idempotency key at " +
                    owner_address,
          outcome};
}

error Forbidden(const std::string& what) {
  return {error_kind::forbidden, what + " is not allowed",
          "ask the operators to allow it"};
}

}  // namespace gentian::session_errors
