#include "gentian_core/cbor.h"

#include <cstddef>

namespace gentian {

namespace {

// Checks nesting depth, declared sizes and the number of values without
// building a value. The CBOR parser of nlohmann-json recurses for each level,
// so deep nesting overflows the stack; it also throws on excessive sizes even
// if its exceptions are disabled.
class cbor_limit_check : public nlohmann::json_sax<json> {
 public:
  cbor_limit_check(std::size_t input_size, std::size_t max_values)
      : input_size_(input_size), max_values_(max_values) {}

  bool null() override { return Count(); }
  bool boolean(bool /*value*/) override { return Count(); }
  bool number_integer(number_integer_t /*value*/) override { return Count(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return Count(); }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return Count();
  }
  bool string(string_t& /*value*/) override { return Count(); }
  bool binary(binary_t& /*value*/) override { return Count(); }
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
    return Count() && depth_ <= kMaxCborDepth &&
           (elements == kUnknownSize || elements <= input_size_);
  }

  bool Count() { return ++values_ <= max_values_; }

  bool Leave() {
    --depth_;
    return true;
  }

  std::size_t input_size_;
  std::size_t max_values_;
  std::size_t values_ = 0;
  int depth_ = 0;
};

}  // namespace

result<json> ParseCbor(const std::vector<std::uint8_t>& bytes) {
  return ParseCbor(std::string_view(reinterpret_cast<const char*>(bytes.data()),
                                    bytes.size()));
}

result<json> ParseCbor(std::string_view bytes, std::size_t max_values) {
  const error refusal{error_kind::malformed_request,
                      "the data is not valid CBOR, is nested too deeply or has "
                      "too many values",
                      "run the same version on all daemons"};
  try {
    cbor_limit_check check(bytes.size(), max_values);
    if (!json::sax_parse(bytes, &check, json::input_format_t::cbor)) {
      return refusal;
    }
    return json::from_cbor(bytes);
  } catch (const json::exception&) {
    return refusal;
  }
}

}  // namespace gentian
