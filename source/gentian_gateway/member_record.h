#ifndef GENTIAN_GATEWAY_MEMBER_RECORD_H_
#define GENTIAN_GATEWAY_MEMBER_RECORD_H_

#include <optional>
#include <string>

namespace gentian {

/** The record under which a daemon registers with the others. */
struct member_record {
  std::string host;
  std::string failure_domain;
  /** Where callers connect, `ip:port`. */
  std::string caller_address;
  /** Where other daemons connect, `ip:port`. */
  std::string peer_address;
  /** The daemon accepts no new callers and will exit. */
  bool stopping = false;
  /** Where other daemons open tunnels to targets, `ip:port`; empty if it opens
      none. */
  std::string tunnel_address{};
};

/** Key prefix of all records that gateways and turn stores keep, so that one
    listing finds them. */
constexpr const char* kRegistryPrefix = "gentianrun/members";
/** Key prefix of the requests that are not sent to targets, by fingerprint. */
constexpr const char* kBlockedPrefix = "gentianrun/members-blocked/";
/** Key prefix of the limits that targets name, by target ID. */
constexpr const char* kLimitsPrefix = "gentianrun/members-limits/";
/** Key prefix of all records of gateways. */
constexpr const char* kMembersPrefix = "gentianrun/members/";

/** The key of a daemon's record. */
std::string MemberKey(const std::string& host);

/** The stored form of a record. */
std::string EncodeMember(const member_record& member);

/** Parses the stored form; nothing if the text is malformed. */
std::optional<member_record> DecodeMember(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_MEMBER_RECORD_H_
