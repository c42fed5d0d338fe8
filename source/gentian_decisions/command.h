#ifndef GENTIAN_DECISIONS_COMMAND_H_
#define GENTIAN_DECISIONS_COMMAND_H_

#include <cstdint>
#include <string>
#include <variant>

#include "gentian_decisions/answer_part.h"
#include "gentian_decisions/kv_operation.h"
#include "gentian_decisions/peer_message.h"
#include "gentian_decisions/target_order.h"

namespace gentian {

/** Sends a part of an answer to a caller. */
struct reply_to_caller {
  request_id id = 0;
  answer_part part;
};

/** Answers an operator. */
struct reply_to_operator {
  request_id id = 0;
  result<json> answer;
};

/** Sends a message to another daemon. Delivery is not certain. */
struct send_to_peer {
  host_id to;
  peer_message message;
};

/** Calls the key-value service; kv_answered follows in every case. */
struct call_kv {
  kv_call_id id = 0;
  kv_operation operation;
  milliseconds deadline{2'000};
};

/** Sends a call to a target; target events follow. */
struct dispatch_call {
  dispatch_id id = 0;
  target_id target;
  /** `ip:port` of the target. */
  std::string address;
  std::string method = "POST";
  std::string path;
  json body;
  bool stream = false;
  /** Sent as a header, for targets that check it. */
  std::uint64_t fencing_token = 0;
  /** Sent as a header, for targets that support it. */
  std::string idempotency_key;
  /** Session whose prefix the engine may keep in its cache. */
  session_id session;
  milliseconds deadline{30'000};
  /** Stream to resume and the first chunk wanted; empty for a new call. */
  std::string resume_stream;
  std::uint64_t resume_offset = 0;
};

/** Cancels a dispatch. A target event may still follow. */
struct cancel_dispatch {
  dispatch_id id = 0;
};

/** Sends a control request to a target; target_order_answered follows. */
struct order_target {
  order_id id = 0;
  target_id target;
  std::string address;
  std::uint64_t fencing_token = 0;
  target_order_body body;
};

/** Writes one structured log line. */
struct write_log {
  log_level severity = log_level::info;
  std::string message;
  json fields;
};

/** A graceful shutdown is complete; the process may exit. */
struct stop_completed {};

/** Everything that a node can ask the shell to do. */
using command = std::variant<reply_to_caller,
                             reply_to_operator,
                             send_to_peer,
                             call_kv,
                             dispatch_call,
                             cancel_dispatch,
                             order_target,
                             write_log,
                             stop_completed>;

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_COMMAND_H_
