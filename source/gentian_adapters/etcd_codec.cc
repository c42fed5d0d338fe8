#include "gentian_adapters/etcd_codec.h"

#include <cstdlib>
#include <utility>

namespace gentian {

namespace {

// An entry of a listing has seven values.
constexpr json_bounds kMessageBounds{64 * 1024 * 1024, 32, 1024 * 1024};

}  // namespace

json ParseEtcdMessage(const std::string& text) {
  result<json> parsed = ParseBoundedJson(text, kMessageBounds);
  return Failed(parsed) ? json() : std::move(ValueOf(parsed));
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
