#ifndef GENTIAN_CORE_CBOR_MESSAGE_H_
#define GENTIAN_CORE_CBOR_MESSAGE_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "gentian_core/cbor.h"
#include "gentian_core/json.h"
#include "gentian_core/result.h"

namespace gentian::detail {

/** Thrown inside a decoder for a message whose values make no sense. Decode
    turns it into an error. */
class invalid_message : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline json ToBytes(const std::string& text) {
  return json::binary(json::binary_t::container_type(text.begin(), text.end()));
}

/** @throws invalid_message if the value is not a byte string */
inline std::string BytesOf(const json& value) {
  if (!value.is_binary()) {
    throw invalid_message("a byte string is missing");
  }
  const auto& bytes = value.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

inline std::string Encode(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

/** Parses untrusted bytes and converts them.

    @param convert  may throw json::exception or invalid_message */
template <typename Value, typename Convert>
result<Value> Decode(std::string_view bytes, Convert convert) {
  const result<json> parsed = ParseCbor(bytes);
  if (Failed(parsed)) {
    return ErrorOf(parsed);
  }
  const auto malformed = [](const std::exception& failure) {
    return error{error_kind::malformed_request,
                 std::string("cannot decode a message: ") + failure.what(),
                 "run the same version on all hosts"};
  };
  try {
    return convert(ValueOf(parsed));
  } catch (const json::exception& failure) {
    return malformed(failure);
  } catch (const invalid_message& failure) {
    return malformed(failure);
  }
}

}  // namespace gentian::detail

#endif  // GENTIAN_CORE_CBOR_MESSAGE_H_
