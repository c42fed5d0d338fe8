#include "gentian_core/hash.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace gentian {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 0xf]);
  }
  return hex;
}

}  // namespace gentian
