#include <criterion/criterion.h>

#include "gentian_core/gentian_core.h"

using gentian::json;
using gentian::ParseCbor;
using gentian::ParseJson;

// Guards against a stack overflow by nesting: a megabyte of opening brackets.
Test(bounded_json, deep_nesting_is_refused) {
  constexpr std::size_t kDepth = 500'000;
  std::string deep(kDepth, '[');
  cr_assert(gentian::Failed(ParseJson(deep)));
  deep.append(kDepth, ']');
  cr_assert(gentian::Failed(ParseJson(deep)));
  // 0x81 starts an array of one element.
  cr_assert(
      gentian::Failed(ParseCbor(std::vector<std::uint8_t>(2 * kDepth, 0x81))));
  const std::string allowed = std::string(gentian::kDeepestNesting, '[') +
                              std::string(gentian::kDeepestNesting, ']');
  cr_assert_not(gentian::Failed(ParseJson(allowed)));
}

// Guards against exceptions and allocations by announced sizes.
Test(bounded_json, excessive_sizes_are_refused) {
  // 0x9b and 0xbb: array and map with a 64-bit size; 0x5b and 0x7b: bytes and
  // text of that size.
  for (const std::uint8_t start : {0x9b, 0xbb, 0x5b, 0x7b}) {
    std::vector<std::uint8_t> bytes(9, 0x68);
    bytes[0] = start;
    cr_assert(gentian::Failed(ParseCbor(bytes)));
  }
}

// Guards against a check that refuses valid data.
Test(bounded_json, valid_data_passes) {
  const json value = {{"a", {1, -2, 3.5, nullptr, true}}, {"b", {{"c", "d"}}}};
  cr_assert(gentian::ValueOf(ParseJson(value.dump())) == value);
  cr_assert(gentian::ValueOf(ParseCbor(json::to_cbor(value))) == value);
}
