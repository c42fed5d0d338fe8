#ifndef GENTIAN_GATEWAY_DAEMON_RELAY_MESSAGES_H_
#define GENTIAN_GATEWAY_DAEMON_RELAY_MESSAGES_H_

#include <cstdint>
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
  /** By listing. */
  std::vector<std::uint64_t> cursors;
};

/** What one gateway knows of a listing. */
struct relayed_listing {
  listing_changes changes;
  /** Age of the listing when the answer was sent; nothing if the gateway has
      not read it. */
  std::optional<milliseconds> age;
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
std::string EncodeRelayRequest(const relay_request& request);
result<relay_request> DecodeRelayRequest(std::string_view bytes);
std::string EncodeRelayAnswer(const relay_answer& answer);
result<relay_answer> DecodeRelayAnswer(std::string_view bytes);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_RELAY_MESSAGES_H_
