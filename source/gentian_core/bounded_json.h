#ifndef GENTIAN_CORE_BOUNDED_JSON_H_
#define GENTIAN_CORE_BOUNDED_JSON_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gentian_core/json.h"
#include "gentian_core/result.h"

namespace gentian {

/** Deepest nesting of arrays and objects that is accepted from outside. */
constexpr int kDeepestNesting = 100;

/** Reads JSON text that comes from outside. Never throws.

    @returns  the value, or error_kind::malformed_request for text that is no
              JSON or is nested too deeply
*/
result<json> ParseJson(const std::string& text);

/** Reads CBOR that comes from outside. Never throws.
    @see ParseJson
*/
result<json> ParseCbor(const std::vector<std::uint8_t>& bytes);

}  // namespace gentian

#endif  // GENTIAN_CORE_BOUNDED_JSON_H_
