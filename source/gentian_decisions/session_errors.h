#ifndef GENTIAN_DECISIONS_SESSION_ERRORS_H_
#define GENTIAN_DECISIONS_SESSION_ERRORS_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian::session_errors {

/** The session does not exist, has ended, or belongs to another team. */
error UnknownSession();

/** No team has the presented key. */
error Unauthorized();

/** The presented key was withdrawn.
    @param outcome  whether the call that this error answers has run
*/
error KeyWithdrawn(call_outcome outcome);

/** The caller's sequence number is not the number of the next call. */
error OutOfOrder(std::uint64_t expected, std::uint64_t next);

/** An idempotency key was already used with a different request. */
error IdempotencyMismatch();

/** A reservation exceeds what remains of a limit of the budget. */
error BudgetSpent(const std::string& limit);

/** The call may have run, so it is not repeated. */
error OutcomeUnknown(const std::string& message);

/** The session was rebuilt from checkpoints, which may lack this call. */
error SessionRestored();

/** The deadline of the call passed. */
error DeadlinePassed(call_outcome outcome);

/** The daemon is not registered yet, or has no shard for new sessions. */
error NotReady();

/** The daemon is draining and opens no new root sessions. */
error Draining();

/** Another daemon owns the shard of the session.
    @param owner_address  address of that daemon, empty if unknown
*/
error Moved(const std::string& owner_address, call_outcome outcome);

/** The settings do not allow the program or tool of the request. */
error Forbidden(const std::string& what);

}  // namespace gentian::session_errors

#endif  // GENTIAN_DECISIONS_SESSION_ERRORS_H_
