#ifndef GENTIAN_DECISIONS_SESSION_ERRORS_H_
#define GENTIAN_DECISIONS_SESSION_ERRORS_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian::session_errors {

/** The session does not exist, has ended, or belongs to another team. */
error UnknownSession();

/** The presented key is not granted to any team. */
error Unauthorized();

/** The presented key was withdrawn.
    @param outcome  what is known about the call that this error answers
*/
error KeyWithdrawn(call_outcome outcome);

/** The position that the caller expects is not the next one. */
error OutOfOrder(std::uint64_t expected, std::uint64_t next);

/** A key was used before with another request. */
error IdempotencyMismatch();

/** An amount does not fit into what is left of a limit. */
error BudgetSpent(const std::string& limit);

/** The call may have run and is not repeated. */
error OutcomeUnknown(const std::string& message);

/** The session was rebuilt from checkpoints; the call may have run before. */
error SessionRestored();

/** The deadline passed. */
error DeadlinePassed(call_outcome outcome);

/** The daemon has no shard to open sessions in yet. */
error NotReady();

/** The daemon is about to stop. */
error Draining();

/** The shard of the session is owned by another daemon now. */
error Moved(const std::string& owner_address, call_outcome outcome);

/** The request was refused for a reason that its settings give. */
error Forbidden(const std::string& what);

}  // namespace gentian::session_errors

#endif  // GENTIAN_DECISIONS_SESSION_ERRORS_H_
