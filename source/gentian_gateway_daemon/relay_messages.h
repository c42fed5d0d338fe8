#ifndef GENTIAN_GATEWAY_DAEMON_RELAY_MESSAGES_H_
#define GENTIAN_GATEWAY_DAEMON_RELAY_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"

namespace gentian {

/** Path of a gateway's interface for those that follow it. */
constexpr const char* kRelayPath = "/state/changes";
/** Path at which a gateway that reads the key-value service is told that the
    registry has changed. */
constexpr const char* kRefreshPath = "/state/refresh";

/** Asks a gateway for what changed in each listing. */
struct relay_request {
  /** The start of the gateway to which the cursors belong; empty at first. */
  std::string source;
  /** By listing: the last change that the source has told of. */
  std::vector<std::uint64_t> cursors;
  /** By listing: the digest of the follower's content. Empty in a message of a
      build that knows none. */
  std::vector<std::uint64_t> digests{};
  /** Number of the only listing that is asked for; all if there is none. */
  std::optional<std::size_t> only{};
  /** The follower reads packed changes and asks for large ones apart. */
  bool takes_packed = false;
};

/** What one gateway knows of a listing. */
struct relayed_listing {
  listing_changes changes;
  /** Age of the listing when the answer was sent; nothing if the gateway has
      not read it. */
  std::optional<milliseconds> age;
  /** Revision of the key-value service that the listing shows; 0 if it is not
      known. */
  std::uint64_t revision = 0;
  /** Digest of the content at the cursor; 0 if it is not known. */
  std::uint64_t digest = 0;
  /** The changes are large and left out. The follower asks for this listing
      alone, so that the others don't wait for it. */
  bool is_deferred = false;
  /** PackChanges of the changes, in place of their entries and removed keys;
      used by the encoder only. */
  std::shared_ptr<const std::string> packed;
};

/** The answer, which is held back for a while if nothing has changed. */
struct relay_answer {
  /** The start of the answering gateway. */
  std::string source;
  /** Time for which the answer was held back. */
  milliseconds held{0};
  std::vector<relayed_listing> listings;
};

/** Wire formats between gateways (CBOR). The decoders return malformed_request
    for unreadable bytes. */
/** The entries and removed keys of changes, compressed. */
std::string PackChanges(const listing_changes& changes);

std::string EncodeRelayRequest(const relay_request& request);
result<relay_request> DecodeRelayRequest(std::string_view bytes);
std::string EncodeRelayAnswer(const relay_answer& answer);
result<relay_answer> DecodeRelayAnswer(std::string_view bytes);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_RELAY_MESSAGES_H_
