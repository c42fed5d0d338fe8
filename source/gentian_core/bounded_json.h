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
};

/** Parses JSON text within bounds, which are checked before any of it is
    parsed: a parsed value takes many times the memory of its text.

    @returns  an error of the kind malformed_request or too_large, whose message
              does not quote the text */
result<json> ParseBoundedJson(std::string_view text,
                              const json_bounds& bounds = {});

/** A field that holds a whole number between two bounds; nothing if it is
    absent or holds anything else. */
std::optional<std::int64_t> FindInteger(const json& object,
                                        const char* name,
                                        std::int64_t least,
                                        std::int64_t most);

}  // namespace gentian

#endif  // GENTIAN_CORE_BOUNDED_JSON_H_
