#ifndef GENTIAN_DECISIONS_EVENT_H_
#define GENTIAN_DECISIONS_EVENT_H_

#include <string>
#include <variant>
#include <vector>

#include "gentian_decisions/admin_operation.h"
#include "gentian_decisions/caller_operation.h"
#include "gentian_decisions/kv_operation.h"
#include "gentian_decisions/peer_message.h"
#include "gentian_decisions/target_order.h"
#include "gentian_decisions/target_report.h"

namespace gentian {

/** A request arrived on the callers' interface. */
struct caller_request {
  request_id id = 0;
  /** Key that the caller presented, empty if none. */
  std::string key;
  caller_operation operation;
};

/** An authenticated operator asks for something. */
struct admin_request {
  request_id id = 0;
  admin_operation operation;
};

/** The caller's connection is gone; nothing more can be sent on it. */
struct caller_disconnected {
  request_id id = 0;
};

/** A message from another daemon. */
struct peer_received {
  incarnation from;
  peer_message message;
};

/** The key-value service answered a call, or its deadline passed. */
struct kv_answered {
  kv_call_id id = 0;
  kv_answer answer;
};

/** The target took the call: it may have run from now on. */
struct target_accepted {
  dispatch_id id = 0;
  /** Stream id for resuming, empty if the target offers none. */
  std::string stream;
};

/** A part of a streamed answer. */
struct target_chunk {
  dispatch_id id = 0;
  /** Position in the stream, from 0. */
  std::uint64_t offset = 0;
  json data;
};

/** The whole answer of a target. */
struct target_finished {
  dispatch_id id = 0;
  json body;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t generated_tokens = 0;
};

/** How a dispatch failed. */
enum class target_failure {
  /** No byte of the request left this host. */
  not_sent,
  /** The target stated that it did not run the call. */
  rejected_not_run,
  /** The connection broke after bytes had been sent. */
  broken,
  /** No byte came for too long; the connection was closed. */
  silent,
  /** The deadline passed. */
  deadline,
  /** The target ran the call and answered with an error. */
  answered_error,
};

/** A dispatch failed. */
struct target_failed {
  dispatch_id id = 0;
  target_failure failure = target_failure::broken;
  std::string message;
};

/** The answer to a control request. */
struct target_order_answered {
  order_id id = 0;
  bool ok = false;
  /** Filled for list_cache. */
  target_cache_listing listing;
  std::string message;
};

/** A new list of hosts of the platform. */
struct host_list_received {
  std::vector<host_list_entry> entries;
};

/** Time has passed. Sent every kTickInterval. */
struct tick {};

/** The operator asked for a graceful shutdown. */
struct stop_requested {};

/** Everything that a node reacts to. */
using event = std::variant<caller_request,
                           admin_request,
                           caller_disconnected,
                           peer_received,
                           kv_answered,
                           target_accepted,
                           target_chunk,
                           target_finished,
                           target_failed,
                           target_order_answered,
                           target_load,
                           target_cache_event,
                           host_list_received,
                           tick,
                           stop_requested>;

/** Interval between two ticks. */
constexpr milliseconds kTickInterval{50};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_EVENT_H_
