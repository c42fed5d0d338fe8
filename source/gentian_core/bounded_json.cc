#include "gentian_core/bounded_json.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace gentian {

namespace {

// Of a value in an object: its node, its name, and itself.
constexpr std::size_t kValueBytes = 128;

struct json_size {
  int depth = 0;
  std::size_t values = 1;
};

// The deepest nesting of the text and the most values that it can have, also if
// it is not valid JSON. A value that is not the first one follows a comma, or
// begins an array or object.
json_size SizeOf(std::string_view text) {
  json_size size;
  int depth = 0;
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
        size.depth = std::max(size.depth, depth);
        size.values += in_string ? 0 : 1;
        break;
      case ']':
      case '}':
        depth -= in_string ? 0 : 1;
        break;
      case ',':
        size.values += in_string ? 0 : 1;
        break;
      default:
        break;
    }
  }
  return size;
}

}  // namespace

result<json> ParseBoundedJson(std::string_view text,
                              const json_bounds& bounds) {
  if (text.size() > bounds.max_bytes) {
    return error{
        error_kind::too_large, "the JSON text is too large",
        "write at most " + std::to_string(bounds.max_bytes) + " bytes"};
  }
  const json_size size = SizeOf(text);
  if (size.depth > bounds.max_depth) {
    return error{error_kind::malformed_request,
                 "the JSON text is nested too deeply",
                 "nest at most " + std::to_string(bounds.max_depth) +
                     " arrays and objects"};
  }
  if (size.values > bounds.max_values) {
    return error{error_kind::too_large, "the JSON text has too many values",
                 "write at most " + std::to_string(bounds.max_values) +
                     " values, arrays and objects"};
  }
  json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    return error{error_kind::malformed_request, "the text is not valid JSON",
                 "write JSON in UTF-8"};
  }
  return parsed;
}

std::size_t JsonCost(std::string_view text, std::size_t max_values) {
  const std::size_t values = SizeOf(text).values;
  return values > max_values ? 0 : values * kValueBytes + text.size();
}

json ParseJsonMessage(std::string_view text) {
  result<json> parsed = ParseBoundedJson(text);
  return Failed(parsed) ? json() : std::move(ValueOf(parsed));
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
