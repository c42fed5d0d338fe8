#include "gentian_gateway/request_fingerprint.h"

#include <cstdint>

#include "gentian_core/gentian_core.h"

namespace gentian {

namespace {

std::string HexDigits(std::uint64_t value) {
  constexpr std::size_t kDigits = 16;
  constexpr unsigned kBitsPerDigit = 4;
  constexpr std::uint64_t kDigitMask = 0xF;
  std::string text(kDigits, '0');
  for (std::size_t i = kDigits; i > 0; --i, value >>= kBitsPerDigit) {
    text[i - 1] = "0123456789abcdef"[value & kDigitMask];
  }
  return text;
}

}  // namespace

request_fingerprint FingerprintOf(const std::string& method,
                                  const std::string& target,
                                  const std::string& team,
                                  const std::string& body) {
  const std::uint64_t origin =
      StableHash(team, StableHash(target, StableHash(method)));
  const std::string content =
      HexDigits(body.empty() ? origin : StableHash(body, origin));
  return {content, team.empty() ? content : HexDigits(origin)};
}

}  // namespace gentian
