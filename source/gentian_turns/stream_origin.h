#ifndef GENTIAN_TURNS_STREAM_ORIGIN_H_
#define GENTIAN_TURNS_STREAM_ORIGIN_H_

#include <cstdint>
#include <string>

#include "gentian_turns/kept_turn.h"

namespace gentian {

/** Which software began a stream. Events of two software versions don't fit
    together, so a stream that breaks off may only be resumed at a target of the
    same service and version. */
struct stream_origin {
  std::string service;
  /** Software version of the target, from its registration. */
  std::string version;
  std::string target;
  /** Unix time of the target's start in milliseconds, from its registration. */
  std::uint64_t target_start = 0;
  /** Unix time in milliseconds at which the request was sent to the target. */
  std::int64_t sent_at_ms = 0;
};

/** True if a stream may change from one target to the other. */
inline bool IsSameSoftware(const stream_origin& a, const stream_origin& b) {
  return a.service == b.service && a.version == b.version && !a.version.empty();
}

/** A stream_origin under the key of the request that began the stream. */
struct stored_origin {
  turn_key key;
  /** Number of the send within the request. A later send replaces an earlier
      one, which has brought no event. */
  int send = 0;
  stream_origin origin;
};

/** Wire formats between daemons (CBOR).

    The decoders return malformed_request for unreadable bytes. */
std::string EncodeOrigin(const stream_origin& origin);
result<stream_origin> DecodeOrigin(std::string_view bytes);
std::string EncodeStoredOrigin(const stored_origin& stored);
result<stored_origin> DecodeStoredOrigin(std::string_view bytes);

}  // namespace gentian

#endif  // GENTIAN_TURNS_STREAM_ORIGIN_H_
