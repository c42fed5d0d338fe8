#include "gentian_core/bounded_json.h"

#include <algorithm>
#include <limits>
#include <string>

namespace gentian {

namespace {

// The deepest nesting of the text, also if it is not valid JSON.
int DepthOf(std::string_view text) {
  int depth = 0;
  int deepest = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    switch (text[i]) {
      case '"':
        in_string = !in_string;
        break;
      case '\\':
        i += in_string ? 1 : 0;
        break;
      case '[':
      case '{':
        depth += in_string ? 0 : 1;
        deepest = std::max(deepest, depth);
        break;
      case ']':
      case '}':
        depth -= in_string ? 0 : 1;
        break;
      default:
        break;
    }
  }
  return deepest;
}

}  // namespace

result<json> ParseBoundedJson(std::string_view text,
                              const json_bounds& bounds) {
  if (text.size() > bounds.max_bytes) {
    return error{
        error_kind::too_large, "the JSON text is too large",
        "write at most " + std::to_string(bounds.max_bytes) + " bytes"};
  }
  if (DepthOf(text) > bounds.max_depth) {
    return error{error_kind::malformed_request,
                 "the JSON text is nested too deeply",
                 "nest at most " + std::to_string(bounds.max_depth) +
                     " arrays and objects"};
  }
  json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    return error{error_kind::malformed_request, "the text is not valid JSON",
                 "write JSON in UTF-8"};
  }
  return parsed;
}

std::optional<std::int64_t> FindInteger(const json& object,
                                        const char* name,
                                        std::int64_t least,
                                        std::int64_t most) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_integer()) {
    return std::nullopt;
  }
  constexpr auto kMaxSigned =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (found->is_number_unsigned() && found->get<std::uint64_t>() > kMaxSigned) {
    return std::nullopt;
  }
  const auto value = found->get<std::int64_t>();
  return value >= least && value <= most ? std::optional(value) : std::nullopt;
}

}  // namespace gentian
