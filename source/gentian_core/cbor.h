#ifndef GENTIAN_CORE_CBOR_H_
#define GENTIAN_CORE_CBOR_H_

#include <cstdint>
#include <vector>

#include "gentian_core/json.h"
#include "gentian_core/result.h"

namespace gentian {

/** Deepest nesting of arrays and maps that ParseCbor accepts. */
constexpr int kMaxCborDepth = 100;

/** Parses CBOR from an untrusted source. Never throws.

    @returns  the value, or error_kind::malformed_request for data that is
              incomplete, invalid or nested too deeply
*/
result<json> ParseCbor(const std::vector<std::uint8_t>& bytes);

}  // namespace gentian

#endif  // GENTIAN_CORE_CBOR_H_
