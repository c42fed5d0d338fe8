#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

using namespace gentian;

namespace {

std::string Nested(std::size_t depth, char open, char close) {
  return std::string(depth, open) + std::string(depth, close);
}

}  // namespace

// Guards against text that takes the memory of a process, or its stack, before
// it turns out to be unusable.
Test(bounded_json, refuses_what_is_too_large_or_too_deep) {
  constexpr json_bounds kBounds{1'000, 4};
  cr_assert(!Failed(ParseBoundedJson(Nested(4, '[', ']'), kBounds)));
  const auto deep = ParseBoundedJson(Nested(5, '[', ']'), kBounds);
  cr_assert(Failed(deep) &&
            ErrorOf(deep).kind == error_kind::malformed_request);
  // The text may end anywhere.
  cr_assert(Failed(ParseBoundedJson(std::string(5, '['), kBounds)));
  cr_assert(Failed(ParseBoundedJson(R"({"a":{"a":{"a":{"a":{)", kBounds)));
  const auto large = ParseBoundedJson(std::string(1'001, ' '), kBounds);
  cr_assert(Failed(large) && ErrorOf(large).kind == error_kind::too_large);
  cr_assert(Failed(ParseBoundedJson(std::string(8'000'000, '['))));
}

// Guards against brackets inside of text that count as nesting.
Test(bounded_json, counts_no_brackets_in_strings) {
  constexpr json_bounds kBounds{1'000, 1};
  cr_assert(!Failed(ParseBoundedJson(R"(["[[[","\"[[","\\"])", kBounds)));
  cr_assert(Failed(ParseBoundedJson(R"(["\\",[]])", kBounds)));
}

// Guards against an error message that quotes text of a caller.
Test(bounded_json, errors_do_not_quote_the_text) {
  for (const char* text : {"", "secret", "[1e400]", "\"\xff\"", "{\"a\":}"}) {
    const auto parsed = ParseBoundedJson(text);
    cr_assert(Failed(parsed), "%s", text);
    cr_assert(ErrorOf(parsed).message.find("secret") == std::string::npos);
    cr_assert(!ErrorOf(parsed).remedy.empty());
  }
}

// Guards against a number that its type can't hold, which is undefined
// behaviour when it is converted.
Test(bounded_json, takes_only_whole_numbers_in_range) {
  const auto find = [](const std::string& number) {
    const auto parsed = ParseBoundedJson("{\"n\":" + number + "}");
    return Failed(parsed) ? std::nullopt
                          : FindInteger(ValueOf(parsed), "n", -5, 100);
  };
  cr_assert(find("0") == 0);
  cr_assert(find("-5") == -5);
  cr_assert(find("100") == 100);
  for (const char* odd :
       {"-6", "101", "1.5", "1.0", "1e2", "1e30", "1e400", "-1e400",
        "9223372036854775808", "18446744073709551615", "18446744073709551616",
        "-9223372036854775809", "\"1\"", "true", "null", "[]", "{}"}) {
    cr_assert(!find(odd), "%s", odd);
  }
  cr_assert(!FindInteger(json::object(), "n", 0, 1));
  cr_assert(!FindInteger(json::array({1}), "n", 0, 1));
}

// Guards against short text whose many small values take the memory of a
// process, and against commas inside of text that count as values.
Test(bounded_json, refuses_too_many_values) {
  constexpr json_bounds kBounds{1'000, 4, 10};
  for (const char* most :
       {"[1,2,3,4,5,6,7,8]", R"({"a":[],"b":{},"c":[1,2,3,4]})",
        R"(["\",,,,,,,,,,,,\""])", "[[],[],[],[]]"}) {
    cr_assert(!Failed(ParseBoundedJson(most, kBounds)), "%s", most);
  }
  for (const char* more :
       {"[1,2,3,4,5,6,7,8,9,10]", "[[],[],[],[],[],[]]", "[,,,,,,,,,,,,",
        R"({"a":1,"b":1,"c":1,"d":1,"e":{"f":1,"g":1,"h":1,"i":1,"j":1}})"}) {
    const auto parsed = ParseBoundedJson(more, kBounds);
    cr_assert(Failed(parsed) && ErrorOf(parsed).kind == error_kind::too_large,
              "%s", more);
  }
}

// Guards against an estimate below what the parsed form takes: beside itself,
// each value of an array or object takes at least a node of 16 bytes.
Test(bounded_json, the_cost_grows_with_the_values) {
  constexpr std::size_t kMost = 3'000;
  cr_assert(JsonCost("1", kMost) >= sizeof(json));
  std::string text = "[{}";
  for (int i = 0; i < 1'000; ++i) {
    text += ",{}";
  }
  // An empty object has a map of 48 bytes.
  cr_assert(JsonCost(text + "]", kMost) >= 1'000 * (sizeof(json) + 48));
  // It is refused before it is parsed.
  cr_assert(JsonCost(text + "]", 1'000) == 0);
}

// Guards against a message of another process that is used although it is
// beyond the bounds.
Test(bounded_json, messages_beyond_the_bounds_are_null) {
  cr_assert(ParseJsonMessage(R"({"a":1})").at("a") == 1);
  for (const std::string& odd :
       {std::string(), std::string("{"), Nested(40, '[', ']'),
        '"' + std::string(70'000, 'x') + '"',
        "[" + std::string(20'000, ',') + "]"}) {
    cr_assert(ParseJsonMessage(odd).is_null(), "%zu bytes", odd.size());
  }
}
