#ifndef GENTIAN_CORE_VARIANT_CODEC_H_
#define GENTIAN_CORE_VARIANT_CODEC_H_

#include <string>
#include <utility>
#include <variant>

#include "gentian_core/json.h"
#include "gentian_core/result.h"

namespace gentian {

namespace detail {

template <typename Alternative, typename... Rest>
struct variant_reader {
  template <typename Variant>
  static bool Read(const std::string& type, const json& in, Variant& out) {
    if (type == Alternative::kType) {
      out = in.get<Alternative>();
      return true;
    }
    if constexpr (sizeof...(Rest) > 0) {
      return variant_reader<Rest...>::Read(type, in, out);
    } else {
      return false;
    }
  }
};

}  // namespace detail

/** Writes a variant as `{"type": NAME, "body": …}`. Each alternative has a
    static member `kType` and the nlohmann hooks to_json and from_json.
*/
template <typename... Alternatives>
json EncodeVariant(const std::variant<Alternatives...>& value) {
  return std::visit(
      [](const auto& alternative) {
        using type = std::decay_t<decltype(alternative)>;
        return json{{"type", type::kType}, {"body", alternative}};
      },
      value);
}

/** Decodes what EncodeVariant wrote; error_kind::malformed_request for an
    unknown type or a body that does not match it.
*/
template <typename... Alternatives>
result<std::variant<Alternatives...>> DecodeVariant(const json& in) {
  std::variant<Alternatives...> value;
  try {
    const auto type = in.at("type").get<std::string>();
    if (detail::variant_reader<Alternatives...>::Read(type, in.at("body"),
                                                      value)) {
      return value;
    }
    return error{error_kind::malformed_request,
                 "unknown message type '" + type + "'",
                 "run the same version on all daemons"};
  } catch (const json::exception& failure) {
    return error{error_kind::malformed_request, failure.what(),
                 "run the same version on all daemons"};
  }
}

}  // namespace gentian

#endif  // GENTIAN_CORE_VARIANT_CODEC_H_
