#include "gentian_platform/etcd_codec.h"

#include <openssl/evp.h>

#include <cstdlib>

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

std::uint64_t ReadEtcdNumber(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    return 0;
  }
  if (found->is_string()) {
    return std::strtoull(found->get_ref<const std::string&>().c_str(), nullptr,
                         10);
  }
  return found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string ReadEtcdBytes(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string()
             ? DecodeBase64(found->get_ref<const std::string&>())
             : std::string();
}

std::string EndOfPrefix(std::string prefix) {
  while (!prefix.empty()) {
    if (static_cast<unsigned char>(prefix.back()) < 0xFFU) {
      ++prefix.back();
      return prefix;
    }
    prefix.pop_back();
  }
  // A single zero byte stands for "no end".
  return std::string(1, '\0');
}

kv_entry ReadEtcdEntry(const json& entry) {
  return kv_entry{ReadEtcdBytes(entry, "key"), ReadEtcdBytes(entry, "value"),
                  ReadEtcdNumber(entry, "mod_revision")};
}

}  // namespace gentian
