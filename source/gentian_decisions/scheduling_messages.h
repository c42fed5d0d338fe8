#ifndef GENTIAN_DECISIONS_SCHEDULING_MESSAGES_H_
#define GENTIAN_DECISIONS_SCHEDULING_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gentian_decisions/call_usage.h"
#include "gentian_decisions/work_item.h"

namespace gentian {

/** Sent by a granter: offers to manage the rate shares of a group of teams. */
struct share_offer {
  static constexpr const char* kType = "share_offer";

  std::uint32_t group = 0;
  /** Monotonic clock of the granter when it sent the offer, in nanoseconds. */
  std::int64_t granter_time = 0;
};

/** Answers a share_offer: the granter may use the sender's share until two
    seconds after `granter_time` on the granter's clock.
*/
struct share_delegation {
  static constexpr const char* kType = "share_delegation";

  /** The incarnation that sent the offer; any other must ignore the message. */
  incarnation granter;
  std::uint32_t group = 0;
  std::int64_t granter_time = 0;
  /** Increases with each delegation of the sender, so that the receiver can
      detect duplicates. */
  std::uint64_t sequence = 0;
  /** The sender delegates 1 / `fleet_size` of each team's rate. */
  std::uint32_t fleet_size = 1;
  /** Rate tokens transferred by this message, by team id. */
  std::map<std::string, double> levels;
};

/** Sent by a granter that no longer uses a delegated share. */
struct share_release {
  static constexpr const char* kType = "share_release";

  std::uint32_t group = 0;
  /** Sequence number of the last delegation that the granter used. */
  std::uint64_t sequence = 0;
};

/** Tells a granter that a batch is closed: its remaining tokens will not be
    spent. */
struct grant_settlement {
  std::uint64_t batch = 0;
  std::uint32_t unused = 0;
};

/** Requests rate tokens from a granter and settles earlier batches. */
struct grant_request {
  static constexpr const char* kType = "grant_request";

  incarnation granter;
  team_id team;
  /** Increases with each request of the sender for the team; 0 if the message
      only settles batches. */
  std::uint64_t request = 0;
  /** Tokens for calls that are waiting. */
  std::uint32_t tokens = 0;
  /** Tokens for calls expected soon; granted only if no call is waiting. */
  std::uint32_t prefetch = 0;
  /** Waiting time of the oldest waiting call. */
  milliseconds waited{0};
  std::vector<grant_settlement> settled;
};

/** Answers a grant_request. */
struct grant_answer {
  static constexpr const char* kType = "grant_answer";

  team_id team;
  std::uint64_t request = 0;
  std::uint64_t batch = 0;
  std::uint32_t tokens = 0;
};

/** Submits a call to the queue of its pool; resent until it is assigned. */
struct pool_submission {
  static constexpr const char* kType = "pool_submission";

  work_item item;
  /** Time that the call has spent waiting at the sender. */
  milliseconds waited{0};
  /** Highest scheduling term of the pool that the sender knows. */
  std::uint64_t term = 0;
};

/** Confirms that a call is in the queue of the pool's scheduling daemon. Also
    answers pool_running, with ticket 0. */
struct pool_accepted {
  static constexpr const char* kType = "pool_accepted";

  pool_id pool;
  ticket_id ticket = 0;
  std::uint64_t term = 0;
};

/** Assigns a slot at a target to a call. */
struct pool_assignment {
  static constexpr const char* kType = "pool_assignment";

  pool_id pool;
  ticket_id ticket = 0;
  target_id target;
  std::uint64_t term = 0;
};

/** Removes a call from the queue or frees its slot. */
struct pool_departure {
  static constexpr const char* kType = "pool_departure";

  enum class reason { finished, failed, withdrawn };

  pool_id pool;
  ticket_id ticket = 0;
  reason why = reason::finished;
  call_usage usage;
};

/** A call that occupies a slot at a target. */
struct running_call {
  work_item item;
  target_id target;
};

/** Lists all calls of the sender that occupy slots of a pool; sent every second
    and whenever the scheduling daemon changes. */
struct pool_running {
  static constexpr const char* kType = "pool_running";

  pool_id pool;
  std::uint64_t term = 0;
  std::vector<running_call> calls;
};

/** Announces the end of a session, so that its cache can be released. */
struct pool_session_ended {
  static constexpr const char* kType = "pool_session_ended";

  session_id session;
};

NLOHMANN_JSON_SERIALIZE_ENUM(pool_departure::reason,
                             {{pool_departure::reason::finished, "finished"},
                              {pool_departure::reason::failed, "failed"},
                              {pool_departure::reason::withdrawn, "withdrawn"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(share_offer, group, granter_time)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(share_delegation,
                                   granter,
                                   group,
                                   granter_time,
                                   sequence,
                                   fleet_size,
                                   levels)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(share_release, group, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(grant_settlement, batch, unused)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(grant_request,
                                   granter,
                                   team,
                                   request,
                                   tokens,
                                   prefetch,
                                   waited,
                                   settled)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(grant_answer, team, request, batch, tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pool_submission, item, waited, term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pool_accepted, pool, ticket, term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pool_assignment, pool, ticket, target, term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pool_departure, pool, ticket, why, usage)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(running_call, item, target)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pool_running, pool, term, calls)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pool_session_ended, session)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SCHEDULING_MESSAGES_H_
