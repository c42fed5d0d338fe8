#ifndef GENTIAN_DECISIONS_SESSION_MESSAGES_H_
#define GENTIAN_DECISIONS_SESSION_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentian_decisions/answer_part.h"
#include "gentian_decisions/caller_identity.h"
#include "gentian_decisions/caller_operation.h"
#include "gentian_decisions/session_record.h"

namespace gentian {

/** Owner to replica: consecutive records of one session. The first message of
    a generation carries the whole session, so that a replica replaces an older
    copy in one step or not at all.
*/
struct store_records {
  static constexpr const char* kType = "store_records";

  /** The recipient; another incarnation on the host ignores the message. */
  incarnation to;
  shard_id shard;
  std::uint64_t generation = 0;
  session_id session;
  /** Time since the session was opened. */
  milliseconds elapsed{0};
  std::vector<session_record> records;
};

/** Replica to owner: acknowledges all records up to a number. */
struct records_stored {
  static constexpr const char* kType = "records_stored";

  shard_id shard;
  std::uint64_t generation = 0;
  session_id session;
  std::uint64_t number = 0;
};

/** Replica to owner or candidate: refused, a higher generation is promised. */
struct store_refused {
  static constexpr const char* kType = "store_refused";

  shard_id shard;
  std::uint64_t promised = 0;
  /** The incarnation that holds the promise. */
  incarnation owner;
};

/** Owner to replica: every session of the shard is copied in this generation;
    the replica can drop copies of older generations.
*/
struct shard_copied {
  static constexpr const char* kType = "shard_copied";

  incarnation to;
  shard_id shard;
  std::uint64_t generation = 0;
};

/** Owner to replica: drop these sessions; all replicas know of their end. */
struct forget_sessions {
  static constexpr const char* kType = "forget_sessions";

  incarnation to;
  shard_id shard;
  std::uint64_t generation = 0;
  std::vector<session_id> sessions;
};

/** Owner to replica: drop the shard, it is replicated elsewhere now. */
struct forget_shard {
  static constexpr const char* kType = "forget_shard";

  incarnation to;
  shard_id shard;
  std::uint64_t generation = 0;
};

/** Copy of a session on a replica. */
struct session_copy {
  session_id session;
  /** Generation of the owner that sent the copy. */
  std::uint64_t generation = 0;
  /** Time since the session was opened. */
  milliseconds elapsed{0};
  std::vector<session_record> records;
};

/** Candidate to replica: refuse lower generations and return the copies. */
struct fence_request {
  static constexpr const char* kType = "fence_request";

  incarnation to;
  shard_id shard;
  std::uint64_t generation = 0;
  /** Last session of the previous page; empty for the first page. */
  session_id after;
};

/** Replica to candidate: promises the generation, returns a page of copies. */
struct fence_promise {
  static constexpr const char* kType = "fence_promise";

  shard_id shard;
  std::uint64_t generation = 0;
  session_id after;
  std::vector<session_copy> copies;
  bool last = false;
};

/** Owner to successor: adopt this shard, the owner is draining. */
struct hand_over {
  static constexpr const char* kType = "hand_over";

  shard_id shard;
  std::uint64_t generation = 0;
};

/** New owner to all live members: it serves the shard now. */
struct owner_changed {
  static constexpr const char* kType = "owner_changed";

  shard_id shard;
  std::uint64_t generation = 0;
  incarnation owner;
};

/** Entry daemon to owner: execute an operation. Resent until the answer is
    complete; the owner executes each request once.
*/
struct forward_request {
  static constexpr const char* kType = "forward_request";

  incarnation to;
  request_id request = 0;
  /** Requests below this one are closed and must not be executed. */
  request_id oldest_open = 0;
  /** Number of answer parts that the entry daemon has received. */
  std::uint64_t parts_received = 0;
  caller_identity caller;
  bool stream = false;
  /** A caller_operation, encoded by EncodeVariant. */
  json operation;
};

/** Owner to entry daemon: one part of an answer, numbered from 0. */
struct forward_part {
  static constexpr const char* kType = "forward_part";

  incarnation to;
  request_id request = 0;
  std::uint64_t number = 0;
  /** An answer_part, encoded by EncodeVariant. */
  json part;
};

/** Entry daemon to owner: the answer is complete or no longer wanted. */
struct forward_closed {
  static constexpr const char* kType = "forward_closed";

  incarnation to;
  request_id request = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_records,
                                   to,
                                   shard,
                                   generation,
                                   session,
                                   elapsed,
                                   records)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(records_stored,
                                   shard,
                                   generation,
                                   session,
                                   number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_refused, shard, promised, owner)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(shard_copied, to, shard, generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forget_sessions,
                                   to,
                                   shard,
                                   generation,
                                   sessions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forget_shard, to, shard, generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(session_copy,
                                   session,
                                   generation,
                                   elapsed,
                                   records)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(fence_request, to, shard, generation, after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(fence_promise,
                                   shard,
                                   generation,
                                   after,
                                   copies,
                                   last)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(hand_over, shard, generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(owner_changed, shard, generation, owner)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forward_request,
                                   to,
                                   request,
                                   oldest_open,
                                   parts_received,
                                   caller,
                                   stream,
                                   operation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forward_part, to, request, number, part)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forward_closed, to, request)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SESSION_MESSAGES_H_
