#ifndef GENTIAN_DECISIONS_PEER_MESSAGE_H_
#define GENTIAN_DECISIONS_PEER_MESSAGE_H_

#include <variant>

#include "gentian_decisions/cluster_messages.h"
#include "gentian_decisions/scheduling_messages.h"
#include "gentian_decisions/session_messages.h"

namespace gentian {

/** A message between daemons. */
using peer_message = std::variant<heartbeat,
                                  config_update,
                                  config_request,
                                  keys_withdrawn,
                                  keys_withdrawn_confirmed,
                                  rollout_request,
                                  rollout_answer,
                                  store_records,
                                  records_stored,
                                  store_refused,
                                  shard_copied,
                                  forget_sessions,
                                  forget_shard,
                                  fence_request,
                                  fence_promise,
                                  hand_over,
                                  owner_changed,
                                  forward_request,
                                  forward_part,
                                  forward_closed,
                                  share_offer,
                                  share_delegation,
                                  share_release,
                                  grant_request,
                                  grant_answer,
                                  pool_submission,
                                  pool_accepted,
                                  pool_assignment,
                                  pool_departure,
                                  pool_running,
                                  pool_session_ended>;

/** Writes a message for the wire format (CBOR of this JSON value). */
json EncodePeerMessage(const peer_message& message);

/** Reads what EncodePeerMessage wrote. */
result<peer_message> DecodePeerMessage(const json& encoded);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_PEER_MESSAGE_H_
