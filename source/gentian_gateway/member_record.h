#ifndef GENTIAN_GATEWAY_MEMBER_RECORD_H_
#define GENTIAN_GATEWAY_MEMBER_RECORD_H_

#include <optional>
#include <string>

namespace gentian {

/** A daemon as it registers itself for the others. */
struct member_record {
  std::string host;
  std::string failure_domain;
  /** Where callers connect, `ip:port`. */
  std::string caller_address;
  /** Where other daemons connect, `ip:port`. */
  std::string peer_address;
  /** It takes no new callers and will end. */
  bool stopping = false;
};

/** Where all records are stored. */
constexpr const char* kMembersPrefix = "gentianrun/members/";

/** The key of a daemon's record. */
std::string MemberKey(const std::string& host);

/** The stored form of a record. */
std::string EncodeMember(const member_record& member);

/** Reads the stored form; nothing if it is not one. */
std::optional<member_record> DecodeMember(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_MEMBER_RECORD_H_
