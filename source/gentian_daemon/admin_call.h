#ifndef GENTIAN_DAEMON_ADMIN_CALL_H_
#define GENTIAN_DAEMON_ADMIN_CALL_H_

#include <map>
#include <string>
#include <string_view>

#include "gentian_decisions/gentian_decisions.h"

namespace gentian {

/** A request on the administration port, as read from HTTP. */
struct admin_http_request {
  std::string method;
  /** Path and query. */
  std::string target;
  /** Value of the Authorization header, empty if there is none. */
  std::string authorization;
  std::string body;
};

/** Operators by the SHA-256 of their key. */
using operator_keys = std::map<std::string, std::string>;

/** An operation with the operator who asks for it. */
struct admin_call {
  /** Name from the daemon's settings, never from the request. */
  std::string operator_name;
  admin_operation operation;
};

/** Largest request body; a whole settings file fits. */
constexpr std::size_t kMostAdminBodyBytes = 1 << 20;

/** Finds the operator whose key the request carries.

    @returns  the operator's name, or error_kind::unauthorized
*/
result<std::string> AuthenticateOperator(const std::string& authorization,
                                         const operator_keys& keys);

/** Converts an HTTP request to an operation, after checking the key. The
    author of a change is the authenticated operator, whatever the body says.

    @returns  the call, or an error that says how to write the request
    @see admin_request
*/
result<admin_call> ReadAdminCall(const admin_http_request& request,
                                 const operator_keys& keys);

/** The audit log line of an operation that changes something.

    @param call    the operation
    @param answer  what the node answered
    @returns       the line, or nothing for operations that only read
    @see write_log
*/
std::optional<write_log> AuditLine(const admin_call& call,
                                   const result<json>& answer);

}  // namespace gentian

#endif  // GENTIAN_DAEMON_ADMIN_CALL_H_
