#include "gentian_core/cbor.h"

#include <cstddef>

namespace gentian {

namespace {

// Checks nesting depth and declared sizes without building a value. The CBOR
// parser of nlohmann-json recurses for each level, so deep nesting overflows
// the stack; it also throws on excessive sizes even if its exceptions are
// disabled.
class cbor_limit_check : public nlohmann::json_sax<json> {
 public:
  explicit cbor_limit_check(std::size_t input_size) : input_size_(input_size) {}

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
    return depth_ <= kMaxCborDepth &&
           (elements == kUnknownSize || elements <= input_size_);
  }

  bool Leave() {
    --depth_;
    return true;
  }

  std::size_t input_size_;
  int depth_ = 0;
};

}  // namespace

result<json> ParseCbor(const std::vector<std::uint8_t>& bytes) {
  const error refusal{error_kind::malformed_request,
                      "the data is not valid CBOR or is nested too deeply",
                      "run the same version on all daemons"};
  try {
    cbor_limit_check check(bytes.size());
    if (!json::sax_parse(bytes, &check, json::input_format_t::cbor)) {
      return refusal;
    }
    return json::from_cbor(bytes);
  } catch (const json::exception&) {
    return refusal;
  }
}

}  // namespace gentian
