#include "gentian_decisions/config_keys.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace gentian {

namespace {

constexpr std::size_t kBlockDigits = 3;

std::string TwelveDigits(std::uint64_t version) {
  char text[24];
  std::snprintf(text, sizeof(text), "%012llu",
                static_cast<unsigned long long>(version));
  return text;
}

template <typename Value>
std::optional<Value> Parse(const std::string& text) {
  const json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    return std::nullopt;
  }
  try {
    return parsed.get<Value>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string ChangeKey(std::uint64_t version) {
  return kChangePrefix + TwelveDigits(version);
}

std::string SnapshotKey(std::uint64_t version) {
  return kSnapshotPrefix + TwelveDigits(version);
}

std::string ChangeBlockPrefix(std::uint64_t version) {
  std::string key = ChangeKey(version);
  key.resize(key.size() - kBlockDigits);
  return key;
}

std::optional<config_record> ParseChange(const std::string& key,
                                         const std::string& value) {
  const std::string prefix = kChangePrefix;
  if (key.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  auto changes = Parse<settings_change_set>(value);
  if (!changes) {
    // The slot is taken for good; without a record no later version could be
    // put in force.
    changes = settings_change_set{"", "malformed change set, ignored", {}};
  }
  const char* digits = key.c_str() + prefix.size();
  return config_record{std::strtoull(digits, nullptr, 10), std::move(*changes)};
}

std::optional<config_snapshot> ParseSnapshot(const std::string& value) {
  return Parse<config_snapshot>(value);
}

}  // namespace gentian
