#ifndef GENTIAN_GATEWAY_MEMBER_RECORD_H_
#define GENTIAN_GATEWAY_MEMBER_RECORD_H_

#include <optional>
#include <string>

namespace gentian {

/** What gateways can say to each other. A gateway registers the latest version
    that it knows, and the others use what came later than theirs only towards
    those that know it. */
enum class peer_protocol : int {
  /** That of records without a version. */
  first = 1,
  /** Tunnels whose bytes come in frames. */
  framed_tunnels = 2,
  /** Permits for cold targets. */
  cold_targets = 3,
  latest = cold_targets,
};

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
  /** Number of the latest peer_protocol that the daemon knows; one that runs a
      later build may register a number that has no name here. */
  int protocol = static_cast<int>(peer_protocol::latest);
  /** Unique for each start of the daemon; empty for a build that doesn't say
      it. */
  std::string incarnation{};

  bool Knows(peer_protocol version) const {
    return protocol >= static_cast<int>(version);
  }
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
