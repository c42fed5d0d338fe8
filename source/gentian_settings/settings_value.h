#ifndef GENTIAN_SETTINGS_SETTINGS_VALUE_H_
#define GENTIAN_SETTINGS_SETTINGS_VALUE_H_

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** How the text of a value is read. */
enum class value_type {
  /** Free text without control characters. */
  text,
  /** Letters, digits, `_`, `-`, `.` and `/`; the name of another section. */
  name,
  /** Names separated by commas. */
  name_list,
  /** `yes` or `no`. */
  yes_no,
  /** One of the names in value_rule::choices. */
  choice,
  /** `ip:port` or `[ipv6]:port`. */
  endpoint,
  /** `ip:port` pairs separated by commas. */
  endpoint_list,
  /** A path that starts with `/`. */
  path,
  /** 64 hexadecimal digits in lower case. */
  sha256,
  /** A whole number, with `k` (1,000) or `M` (1,000,000). */
  count,
  /** A decimal number. */
  number,
  /** An amount of the currency unit with up to six decimals. */
  money,
  /** A number with `ms`, `s`, `m` or `h`. */
  duration,
  /** A number with `/s` or `/m`. */
  rate,
};

/** Type and range of a value. The range is in the type's base unit: 1,
    milliseconds, requests a second or millionths of the currency unit.
*/
struct value_rule {
  value_type type = value_type::text;
  double least = 0;
  double most = 0;
  std::vector<std::string> choices = {};
};

/** What a value's text stands for: text, names, a truth value, a whole number
    (counts, millionths), a decimal (numbers, requests a second) or a time.
*/
using parsed_value = std::variant<std::string,
                                  std::set<std::string>,
                                  bool,
                                  std::uint64_t,
                                  double,
                                  milliseconds>;

/** Why a value can not be used, and what to write. */
struct value_mistake {
  std::string reason;
  std::string remedy;
};

/** Reads a value and checks it against its rule. */
std::variant<parsed_value, value_mistake> ParseValue(const value_rule& rule,
                                                     const std::string& text);

/** The type as the settings reference shows it, for example "duration". */
const char* NameOf(value_type type);

/** The range as text with units, for example "1ms to 1h". */
std::string RangeOf(const value_rule& rule);

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_SETTINGS_VALUE_H_
