#ifndef GENTIAN_CORE_BOUNDED_JSON_H_
#define GENTIAN_CORE_BOUNDED_JSON_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "gentian_core/json.h"
#include "gentian_core/result.h"

namespace gentian {

/** Bounds of JSON text that another program wrote. */
struct json_bounds {
  std::size_t max_bytes = 64 * 1024;
  int max_depth = 32;
  /** Of arrays, objects and what they hold. Each takes some hundred bytes. */
  std::size_t max_values = 16 * 1024;
};

/** Parses JSON text within bounds, which are checked before any of it is
    parsed: a parsed value takes many times the memory of its text.

    @returns  an error of the kind malformed_request or too_large, whose message
              does not quote the text */
result<json> ParseBoundedJson(std::string_view text,
                              const json_bounds& bounds = {});

/** Memory that the parsed form of JSON text may take; 0 for text with more
    values than a bound, which is refused before it is parsed. */
std::size_t JsonCost(std::string_view text, std::size_t max_values);

/** Parses a message of another process within the default bounds.

    @returns  null for text that is not valid JSON or beyond the bounds */
json ParseJsonMessage(std::string_view text);

/** A field that holds a whole number between two bounds; nothing if it is
    absent or holds anything else. */
std::optional<std::int64_t> FindInteger(const json& object,
                                        const char* name,
                                        std::int64_t least,
                                        std::int64_t most);

}  // namespace gentian

#endif  // GENTIAN_CORE_BOUNDED_JSON_H_
