#include "gentian_gateway/member_record.h"

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
              {"protocol", member.protocol}}
      .dump();
}

std::optional<member_record> DecodeMember(const std::string& text) {
  const json stored = json::parse(text, nullptr, false);
  if (!stored.is_object()) {
    return std::nullopt;
  }
  try {
    return member_record{
        stored.at("host"),
        stored.at("failure_domain"),
        stored.at("caller_address"),
        stored.at("peer_address"),
        stored.at("stopping"),
        stored.value("tunnel_address", ""),
        stored.value("protocol", static_cast<int>(peer_protocol::first))};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace gentian
