#include <criterion/criterion.h>

#include "gentian_core/gentian_core.h"

using gentian::json;
using gentian::ParseCbor;

// Guards against a stack overflow by deep nesting. 0x81 starts an array of one.
Test(cbor, deep_nesting_is_refused) {
  constexpr std::size_t kDepth = 1'000'000;
  cr_assert(
      gentian::Failed(ParseCbor(std::vector<std::uint8_t>(kDepth, 0x81))));
  std::vector<std::uint8_t> allowed(gentian::kMaxCborDepth, 0x81);
  allowed.push_back(0x01);
  cr_assert_not(gentian::Failed(ParseCbor(allowed)));
  allowed.insert(allowed.begin(), 0x81);
  cr_assert(gentian::Failed(ParseCbor(allowed)));
}

// Guards against exceptions and allocations caused by declared sizes.
Test(cbor, excessive_sizes_are_refused) {
  // 0x9b and 0xbb: array and map with a 64-bit size; 0x5b and 0x7b: bytes and
  // text of that size.
  for (const std::uint8_t start : {0x9b, 0xbb, 0x5b, 0x7b}) {
    std::vector<std::uint8_t> bytes(9, 0x68);
    bytes[0] = start;
    cr_assert(gentian::Failed(ParseCbor(bytes)));
  }
}

// Guards against a check that refuses valid data.
Test(cbor, valid_data_passes) {
  const json value = {{"a", {1, -2, 3.5, nullptr, true}}, {"b", {{"c", "d"}}}};
  cr_assert(gentian::ValueOf(ParseCbor(json::to_cbor(value))) == value);
}

// Guards against values of one byte each that take the memory of a process.
// 0xa0 is an empty map, and 0x9f starts an array that 0xff ends.
Test(cbor, too_many_values_are_refused) {
  const auto maps = [](std::size_t number) {
    return "\x9f" + std::string(number, '\xa0') + "\xff";
  };
  cr_assert_not(gentian::Failed(ParseCbor(maps(9), 10)));
  cr_assert(gentian::Failed(ParseCbor(maps(10), 10)));
  cr_assert_not(gentian::Failed(ParseCbor(maps(gentian::kMaxCborValues - 1))));
  cr_assert(gentian::Failed(ParseCbor(maps(gentian::kMaxCborValues))));
}
