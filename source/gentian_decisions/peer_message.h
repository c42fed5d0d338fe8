#ifndef GENTIAN_DECISIONS_PEER_MESSAGE_H_
#define GENTIAN_DECISIONS_PEER_MESSAGE_H_

#include <variant>

#include "gentian_decisions/cluster_messages.h"

namespace gentian {

/** A message between daemons. */
using peer_message = std::variant<heartbeat,
                                  config_update,
                                  config_request,
                                  keys_withdrawn,
                                  keys_withdrawn_confirmed,
                                  rollout_request,
                                  rollout_answer>;

/** Writes a message for the wire format (CBOR of this JSON value). */
json EncodePeerMessage(const peer_message& message);

/** Reads what EncodePeerMessage wrote. */
result<peer_message> DecodePeerMessage(const json& encoded);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_PEER_MESSAGE_H_
