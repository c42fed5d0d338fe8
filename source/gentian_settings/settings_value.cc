#include "gentian_settings/settings_value.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

namespace gentian {

namespace {

using outcome = std::variant<parsed_value, value_mistake>;

struct unit {
  const char* suffix;
  double factor;
};

constexpr double kMicrosPerUnit = 1e6;
// Largest whole number that a double holds exactly.
constexpr double kLargestExact = 9007199254740992.0;

const std::vector<unit>& UnitsOf(value_type type) {
  static const std::vector<unit> durations = {
      {"ms", 1}, {"s", 1e3}, {"m", 60e3}, {"h", 3600e3}};
  static const std::vector<unit> rates = {{"/s", 1}, {"/m", 1.0 / 60}};
  static const std::vector<unit> counts = {{"", 1}, {"k", 1e3}, {"M", 1e6}};
  static const std::vector<unit> money = {{"", kMicrosPerUnit}};
  static const std::vector<unit> plain = {{"", 1}};
  switch (type) {
    case value_type::duration:
      return durations;
    case value_type::rate:
      return rates;
    case value_type::count:
      return counts;
    case value_type::money:
      return money;
    default:
      return plain;
  }
}

const char* ExampleOf(value_type type) {
  switch (type) {
    case value_type::duration:
      return "write a number with ms, s, m or h, for example 500ms or 10s";
    case value_type::rate:
      return "write a number with /s or /m, for example 20/s";
    case value_type::count:
      return "write a whole number, for example 200, 4k or 2M";
    case value_type::money:
      return "write an amount with up to six decimals, for example 2.50";
    default:
      return "write a decimal number, for example 1.5";
  }
}

// Whole results are printed without decimals.
std::string NumberText(double value) {
  std::array<char, 64> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(),
                                 value, std::chars_format::fixed);
  return {buffer.data(), end.ptr};
}

std::string WithUnit(value_type type, double value) {
  switch (type) {
    case value_type::duration:
      for (const unit& candidate :
           {unit{"h", 3600e3}, unit{"m", 60e3}, unit{"s", 1e3}}) {
        if (value > 0 && std::fmod(value, candidate.factor) == 0) {
          return NumberText(value / candidate.factor) + candidate.suffix;
        }
      }
      return NumberText(value) + "ms";
    case value_type::rate:
      return NumberText(value) + "/s";
    case value_type::money:
      return NumberText(value / kMicrosPerUnit);
    default:
      return NumberText(value);
  }
}

bool IsWhole(value_type type) {
  return type == value_type::count || type == value_type::money ||
         type == value_type::duration;
}

std::optional<double> ScaleOf(value_type type, std::string_view suffix) {
  for (const unit& candidate : UnitsOf(type)) {
    if (suffix == candidate.suffix) {
      return candidate.factor;
    }
  }
  return std::nullopt;
}

parsed_value Typed(value_type type, double value) {
  switch (type) {
    case value_type::duration:
      return milliseconds(static_cast<std::int64_t>(value));
    case value_type::count:
    case value_type::money:
      return static_cast<std::uint64_t>(value);
    default:
      return value;
  }
}

outcome ParseNumber(const value_rule& rule, const std::string& text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  // std::chars_format::fixed keeps out exponents, "inf" is caught below.
  const auto parsed =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (parsed.ec != std::errc() || !std::isfinite(number)) {
    return value_mistake{"'" + text + "' is not a number",
                         ExampleOf(rule.type)};
  }
  const std::string_view suffix(parsed.ptr,
                                static_cast<std::size_t>(end - parsed.ptr));
  const auto scale = ScaleOf(rule.type, suffix);
  if (!scale) {
    const std::string reason = suffix.empty() ? "'" + text + "' has no unit"
                                              : "'" + std::string(suffix) +
                                                    "' is not a unit of a " +
                                                    NameOf(rule.type);
    return value_mistake{reason, ExampleOf(rule.type)};
  }
  double value = number * *scale;
  if (IsWhole(rule.type)) {
    const double nearest = std::round(value);
    // Decimal amounts are not exact in binary; 1e-4 of a base unit is far
    // below what the syntax can express.
    if (std::abs(value - nearest) > 1e-4 || nearest > kLargestExact) {
      return value_mistake{"'" + text + "' is not a whole number of base units",
                           ExampleOf(rule.type)};
    }
    value = nearest;
  }
  if (value < rule.least || value > rule.most) {
    return value_mistake{"'" + text + "' is out of range",
                         "write a value from " + RangeOf(rule)};
  }
  return Typed(rule.type, value);
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.' || c == '/';
}

bool IsName(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::string host = text.substr(0, colon);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return false;
  }
  boost::system::error_code failure;
  const auto address = boost::asio::ip::make_address(host, failure);
  return !failure && address.is_v6() == bracketed;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= text.size()) {
    const auto comma = std::min(text.find(',', start), text.size());
    std::string part = text.substr(start, comma - start);
    const auto first = part.find_first_not_of(" \t");
    const auto last = part.find_last_not_of(" \t");
    parts.push_back(first == std::string::npos
                        ? std::string()
                        : part.substr(first, last - first + 1));
    start = comma + 1;
  }
  return parts;
}

outcome ParseList(const std::string& text,
                  bool (*valid)(const std::string&),
                  const char* remedy) {
  std::set<std::string> items;
  if (text.empty()) {
    return parsed_value(items);
  }
  for (std::string& part : SplitList(text)) {
    if (!valid(part)) {
      return value_mistake{"'" + part + "' is not valid in this list", remedy};
    }
    if (!items.insert(part).second) {
      return value_mistake{"'" + part + "' is listed twice",
                           "remove one of the two"};
    }
  }
  return parsed_value(std::move(items));
}

outcome ParseYesNo(const std::string& text) {
  if (text == "yes" || text == "no") {
    return parsed_value(text == "yes");
  }
  return value_mistake{"'" + text + "' is neither yes nor no",
                       "write yes or no"};
}

outcome ParseChoice(const value_rule& rule, const std::string& text) {
  if (std::find(rule.choices.begin(), rule.choices.end(), text) !=
      rule.choices.end()) {
    return parsed_value(text);
  }
  return value_mistake{"'" + text + "' is not a known choice",
                       "write one of: " + RangeOf(rule)};
}

bool IsSha256(const std::string& text) {
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool IsPath(const std::string& text) {
  return !text.empty() && text.front() == '/' &&
         text.find_first_of(" \t?#") == std::string::npos;
}

outcome Require(bool valid, const std::string& text, value_mistake mistake) {
  if (valid) {
    return parsed_value(text);
  }
  return mistake;
}

constexpr const char* kEndpointRemedy =
    "write an IP address with a port from 1 to 65535, for example "
    "127.0.0.1:8080 or [::1]:8080";

}  // namespace

outcome ParseValue(const value_rule& rule, const std::string& text) {
  switch (rule.type) {
    case value_type::text:
      return parsed_value(text);
    case value_type::name:
      return Require(IsName(text), text,
                     {"'" + text + "' is not a name",
                      "use letters, digits, _, -, . and /"});
    case value_type::name_list:
      return ParseList(text, IsName,
                       "separate names by commas, for example a, b");
    case value_type::yes_no:
      return ParseYesNo(text);
    case value_type::choice:
      return ParseChoice(rule, text);
    case value_type::endpoint:
      return Require(
          IsEndpoint(text), text,
          {"'" + text + "' is not an IP address with a port", kEndpointRemedy});
    case value_type::endpoint_list:
      return ParseList(text, IsEndpoint, kEndpointRemedy);
    case value_type::path:
      return Require(IsPath(text), text,
                     {"'" + text + "' is not a path",
                      "start it with /, without spaces, ? and #"});
    case value_type::sha256:
      return Require(IsSha256(text), text,
                     {"not a SHA-256 in lower-case hexadecimal",
                      "write 64 digits 0-9 a-f, as `gentianrun admin key "
                      "grant` does; never the key itself"});
    default:
      return ParseNumber(rule, text);
  }
}

const char* NameOf(value_type type) {
  static constexpr std::array<const char*, 14> kNames = {
      "text",     "name",    "list of names",   "yes or no",
      "choice",   "ip:port", "list of ip:port", "path",
      "SHA-256",  "count",   "number",          "amount",
      "duration", "rate"};
  return kNames.at(static_cast<std::size_t>(type));
}

std::string RangeOf(const value_rule& rule) {
  if (!rule.choices.empty()) {
    std::string joined;
    for (const std::string& choice : rule.choices) {
      joined += (joined.empty() ? "" : ", ") + choice;
    }
    return joined;
  }
  if (rule.type < value_type::count) {
    return "";
  }
  return WithUnit(rule.type, rule.least) + " to " +
         WithUnit(rule.type, rule.most);
}

}  // namespace gentian
