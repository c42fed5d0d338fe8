#ifndef GENTIAN_CORE_CBOR_H_
#define GENTIAN_CORE_CBOR_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "gentian_core/json.h"
#include "gentian_core/result.h"

namespace gentian {

/** Deepest nesting of arrays and maps that ParseCbor accepts. */
constexpr int kMaxCborDepth = 100;

/** Most values that ParseCbor accepts unless it is told otherwise. Each takes
    some hundred bytes, however few it takes in CBOR. */
constexpr std::size_t kMaxCborValues = 128 * 1024;

/** Parses CBOR from an untrusted source. Never throws.

    @param max_values  of arrays, maps and what they hold
    @returns           the value, or error_kind::malformed_request for data that
                       is incomplete, invalid, nested too deeply or has too many
                       values
*/
result<json> ParseCbor(std::string_view bytes,
                       std::size_t max_values = kMaxCborValues);
result<json> ParseCbor(const std::vector<std::uint8_t>& bytes);

}  // namespace gentian

#endif  // GENTIAN_CORE_CBOR_H_
