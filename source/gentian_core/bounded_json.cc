#include "gentian_core/bounded_json.h"

#include <cstddef>

namespace gentian {

namespace {

// Checks nesting and announced sizes without building a value. The CBOR reader
// and the writers of nlohmann-json recurse once a level, so that deep nesting
// overflows the stack; the reader also throws on excessive sizes although
// exceptions are switched off.
class bounds_check : public nlohmann::json_sax<json> {
 public:
  explicit bounds_check(std::size_t input_size) : input_size_(input_size) {}

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool key(string_t& /*value*/) override { return true; }
  bool start_object(std::size_t elements) override { return Enter(elements); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t elements) override { return Enter(elements); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*position*/,
                   const std::string& /*last_token*/,
                   const nlohmann::detail::exception& /*failure*/) override {
    return false;
  }

 private:
  // Every element takes at least one byte of input.
  bool Enter(std::size_t elements) {
    constexpr auto kUnknownSize = static_cast<std::size_t>(-1);
    ++depth_;
    return depth_ <= kDeepestNesting &&
           (elements == kUnknownSize || elements <= input_size_);
  }

  bool Leave() {
    --depth_;
    return true;
  }

  std::size_t input_size_;
  int depth_ = 0;
};

template <typename Input>
result<json> ParseBounded(const Input& input, json::input_format_t format) {
  const error refusal{error_kind::malformed_request,
                      "the data can not be read or is nested too deeply",
                      "send complete data with at most " +
                          std::to_string(kDeepestNesting) +
                          " levels of nesting"};
  try {
    bounds_check check(input.size());
    if (!json::sax_parse(input, &check, format)) {
      return refusal;
    }
    return format == json::input_format_t::cbor ? json::from_cbor(input)
                                                : json::parse(input);
  } catch (const json::exception&) {
    return refusal;
  }
}

}  // namespace

result<json> ParseJson(const std::string& text) {
  return ParseBounded(text, json::input_format_t::json);
}

result<json> ParseCbor(const std::vector<std::uint8_t>& bytes) {
  return ParseBounded(bytes, json::input_format_t::cbor);
}

}  // namespace gentian
