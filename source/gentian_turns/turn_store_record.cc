#include "gentian_turns/turn_store_record.h"

#include "gentian_core/gentian_core.h"

namespace gentian {

std::string RunningStoreKey(const std::string& host) {
  return kRunningStoresPrefix + host;
}

std::string DiskKey(const std::string& host) {
  return kDisksPrefix + host;
}

std::string EncodeTurnStore(const turn_store_record& record) {
  return json{{"host", record.host},
              {"failure_domain", record.failure_domain},
              {"address", record.address},
              {"incarnation", record.incarnation},
              {"draining", record.draining}}
      .dump();
}

std::optional<turn_store_record> DecodeTurnStore(const std::string& text) {
  const result<json> parsed = ParseBoundedJson(text);
  if (Failed(parsed) || !ValueOf(parsed).is_object()) {
    return std::nullopt;
  }
  const json& stored = ValueOf(parsed);
  try {
    return turn_store_record{stored.at("host"), stored.at("failure_domain"),
                             stored.at("address"), stored.at("incarnation"),
                             stored.at("draining")};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace gentian
