#include "gentian_gateway/member_record.h"

#include <cstdint>
#include <limits>

#include "gentian_core/gentian_core.h"

namespace gentian {

std::string MemberKey(const std::string& host) {
  return kMembersPrefix + host;
}

std::string EncodeMember(const member_record& member) {
  return json{{"host", member.host},
              {"failure_domain", member.failure_domain},
              {"caller_address", member.caller_address},
              {"peer_address", member.peer_address},
              {"stopping", member.stopping},
              {"tunnel_address", member.tunnel_address},
              {"protocol", member.protocol},
              {"incarnation", member.incarnation}}
      .dump();
}

std::optional<member_record> DecodeMember(const std::string& text) {
  const result<json> parsed = ParseBoundedJson(text);
  if (Failed(parsed) || !ValueOf(parsed).is_object()) {
    return std::nullopt;
  }
  const json& stored = ValueOf(parsed);
  std::int64_t protocol = static_cast<int>(peer_protocol::first);
  if (stored.contains("protocol")) {
    const auto known = FindInteger(stored, "protocol", protocol,
                                   std::numeric_limits<int>::max());
    if (!known) {
      return std::nullopt;
    }
    protocol = *known;
  }
  try {
    return member_record{
        stored.at("host"),           stored.at("failure_domain"),
        stored.at("caller_address"), stored.at("peer_address"),
        stored.at("stopping"),       stored.value("tunnel_address", ""),
        static_cast<int>(protocol),  stored.value("incarnation", "")};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace gentian
