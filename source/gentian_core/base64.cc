#include "gentian_core/base64.h"

#include <openssl/evp.h>

namespace gentian {

std::string EncodeBase64(const std::string& bytes) {
  constexpr std::size_t kGroup = 3;
  std::string text((bytes.size() + kGroup - 1) / kGroup * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes(text.size() / 4 * 3 + 1, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return {};
  }
  // The decoder counts padding as zero bytes.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace gentian
