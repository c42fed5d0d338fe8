#ifndef GENTIAN_CORE_RESULT_H_
#define GENTIAN_CORE_RESULT_H_

#include <variant>

#include "gentian_core/error.h"

namespace gentian {

/** Either a value or a typed error.

    @see Failed, ValueOf, ErrorOf
*/
template <typename Value>
using result = std::variant<Value, error>;

/** The value of an operation that has nothing to return. */
using success = std::monostate;

/** True if the result holds an error. */
template <typename Value>
bool Failed(const result<Value>& outcome) {
  return std::holds_alternative<error>(outcome);
}

/** The value of a result. Precondition: !Failed(outcome). */
template <typename Value>
const Value& ValueOf(const result<Value>& outcome) {
  return std::get<Value>(outcome);
}

/** The value of a result. Precondition: !Failed(outcome). */
template <typename Value>
Value& ValueOf(result<Value>& outcome) {
  return std::get<Value>(outcome);
}

/** The error of a result. Precondition: Failed(outcome). */
template <typename Value>
const error& ErrorOf(const result<Value>& outcome) {
  return std::get<error>(outcome);
}

}  // namespace gentian

#endif  // GENTIAN_CORE_RESULT_H_
