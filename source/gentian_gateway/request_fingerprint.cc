#include "gentian_gateway/request_fingerprint.h"

#include <cstdint>

#include "gentian_core/gentian_core.h"

namespace gentian {

std::string RequestFingerprint(const std::string& method,
                               const std::string& target,
                               const std::string& team,
                               const std::string& body) {
  std::uint64_t hash = StableHash(method);
  for (const std::string* part : {&target, &team, &body}) {
    hash = StableHash(*part, hash);
  }
  constexpr std::size_t kDigits = 16;
  constexpr unsigned kBitsPerDigit = 4;
  constexpr std::uint64_t kDigitMask = 0xF;
  std::string text(kDigits, '0');
  for (std::size_t i = kDigits; i > 0; --i, hash >>= kBitsPerDigit) {
    text[i - 1] = "0123456789abcdef"[hash & kDigitMask];
  }
  return text;
}

}  // namespace gentian
