#ifndef GENTIAN_DECISIONS_CLUSTER_MESSAGES_H_
#define GENTIAN_DECISIONS_CLUSTER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** What a daemon says about another one's liveness. */
struct member_news {
  incarnation id;
  /** 0 alive, 1 suspect, 2 dead: the order in which they override. */
  int state = 0;
  /** Number of the last heartbeat of `id` that the news is based on. */
  std::uint64_t heartbeat = 0;
};

/** Sent on every link between daemons once a second. */
struct heartbeat {
  static constexpr const char* kType = "heartbeat";

  incarnation sender;
  /** Grows with each heartbeat of the incarnation. */
  std::uint64_t number = 0;
  /** Version in force at the sender. */
  std::uint64_t config_version = 0;
  /** True if the sender takes no new sessions. */
  bool draining = false;
  /** True if the sender stops now. */
  bool leaving = false;
  /** True if the receiver should not answer with a heartbeat. */
  bool answer = false;
  /** Requests in progress at the sender. */
  std::uint32_t load = 0;
  /** Combined hash of the sender's withdrawn keys. */
  std::uint64_t withdrawn_digest = 0;
  /** Up to 4 changes. */
  std::vector<member_news> news;
  /** Time since each configured daemon was heard from, directly or through
      others: two steps of 500 ms a byte, 15 for more than 7 s. Only with more
      than 8 daemons.
  */
  std::vector<std::uint8_t> heard;
};

/** One accepted version. */
struct config_record {
  std::uint64_t version = 0;
  settings_change_set changes;
};

/** The whole tree at a version, as changes to an empty tree. */
struct config_snapshot {
  std::uint64_t version = 0;
  std::vector<settings_change> tree;
};

/** Passes accepted versions on, oldest first. */
struct config_update {
  static constexpr const char* kType = "config_update";

  /** Set if the receiver is too far behind for the records alone. */
  std::optional<config_snapshot> snapshot;
  std::vector<config_record> records;
  /** Version in force at the sender. */
  std::uint64_t version = 0;
  /** True if the sender knows a configuration of the fleet. Only such answers
      count when a starting daemon asks a majority. */
  bool ready = false;
};

/** Asks for accepted versions; config_update follows. */
struct config_request {
  static constexpr const char* kType = "config_request";

  std::uint64_t after_version = 0;
  /** True if the sender is starting and does not know its own tree. */
  bool whole = false;
};

/** Passes withdrawn keys on. */
struct keys_withdrawn {
  static constexpr const char* kType = "keys_withdrawn";

  std::vector<std::string> hashes;
  /** Daemon that confirmations go to. */
  host_id origin;
};

/** The sender has these withdrawn keys in force. */
struct keys_withdrawn_confirmed {
  static constexpr const char* kType = "keys_withdrawn_confirmed";

  std::vector<std::string> hashes;
};

/** Asks which version is in force. */
struct rollout_request {
  static constexpr const char* kType = "rollout_request";

  request_id id = 0;
};

/** Answers a rollout_request. */
struct rollout_answer {
  static constexpr const char* kType = "rollout_answer";

  request_id id = 0;
  std::uint64_t version = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member_news, id, state, heartbeat)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(heartbeat,
                                   sender,
                                   number,
                                   config_version,
                                   draining,
                                   leaving,
                                   answer,
                                   load,
                                   withdrawn_digest,
                                   news,
                                   heard)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_record, version, changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_snapshot, version, tree)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_update,
                                   snapshot,
                                   records,
                                   version,
                                   ready)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_request, after_version, whole)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(keys_withdrawn, hashes, origin)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(keys_withdrawn_confirmed, hashes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(rollout_request, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(rollout_answer, id, version)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CLUSTER_MESSAGES_H_
