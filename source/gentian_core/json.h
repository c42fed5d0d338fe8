#ifndef GENTIAN_CORE_JSON_H_
#define GENTIAN_CORE_JSON_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

namespace gentian {

/** The JSON value type used for request and answer bodies. */
using json = nlohmann::json;

}  // namespace gentian

namespace nlohmann {

/** Optional values are written as null when empty. */
template <typename Value>
struct adl_serializer<std::optional<Value>> {
  static void to_json(json& out, const std::optional<Value>& value) {
    if (value) {
      out = *value;
    } else {
      out = nullptr;
    }
  }
  static void from_json(const json& in, std::optional<Value>& value) {
    if (in.is_null()) {
      value.reset();
    } else {
      value = in.get<Value>();
    }
  }
};

/** Times are written as whole numbers of milliseconds. */
template <>
struct adl_serializer<std::chrono::milliseconds> {
  static void to_json(json& out, std::chrono::milliseconds value) {
    out = value.count();
  }
  static void from_json(const json& in, std::chrono::milliseconds& value) {
    value = std::chrono::milliseconds(in.get<std::int64_t>());
  }
};

}  // namespace nlohmann

#endif  // GENTIAN_CORE_JSON_H_
