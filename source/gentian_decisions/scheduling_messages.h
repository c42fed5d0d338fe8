#ifndef GENTIAN_DECISIONS_SCHEDULING_MESSAGES_H_
#define GENTIAN_DECISIONS_SCHEDULING_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gentian_decisions/call_usage.h"
#include "gentian_decisions/work_item.h"

namespace gentian {

/** A granter offers to hold the shares of a group of teams. */
struct share_offer {
  static constexpr const char* kType = "share_offer";

  std::uint32_t group = 0;
  /** The granter's own monotonic time in nanoseconds. */
  std::int64_t granter_time = 0;
};

/** Answers a share_offer: the sender's share is the granter's to use until
    two seconds after `granter_time` on the granter's clock.
*/
struct share_delegation {
  static constexpr const char* kType = "share_delegation";

  /** The incarnation that offered; another one must ignore the message. */
  incarnation granter;
  std::uint32_t group = 0;
  std::int64_t granter_time = 0;
  /** Grows with each delegation of the sender, so that repeats are seen. */
  std::uint64_t sequence = 0;
  /** The sender delegates one part in `fleet_size` of each rate. */
  std::uint32_t fleet_size = 1;
  /** Tokens that move with this message, by team. */
  std::map<std::string, double> levels;
};

/** A granter has stopped using a delegated share. */
struct share_release {
  static constexpr const char* kType = "share_release";

  std::uint32_t group = 0;
  /** Sequence of the last delegation that the granter used. */
  std::uint64_t sequence = 0;
};

/** Tells a granter that no token of a batch will be spent any more. */
struct grant_settlement {
  std::uint64_t batch = 0;
  std::uint32_t unused = 0;
};

/** Asks a granter for tokens and settles earlier batches. */
struct grant_request {
  static constexpr const char* kType = "grant_request";

  incarnation granter;
  team_id team;
  /** Grows with each request of the sender for the team; 0 if the message
      only settles. */
  std::uint64_t request = 0;
  /** Tokens for calls that wait now. */
  std::uint32_t tokens = 0;
  /** Tokens for calls that are expected soon; granted only if nobody waits. */
  std::uint32_t prefetch = 0;
  /** How long the oldest of the waiting calls has waited. */
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

/** Submits a call to the queue of its pool; repeated until assigned. */
struct pool_submission {
  static constexpr const char* kType = "pool_submission";

  work_item item;
  /** Time that the call has already waited at the sender. */
  milliseconds waited{0};
  /** Highest term of the pool that the sender has seen. */
  std::uint64_t term = 0;
};

/** The call is in the queue of the pool's scheduling daemon. */
struct pool_accepted {
  static constexpr const char* kType = "pool_accepted";

  pool_id pool;
  ticket_id ticket = 0;
  std::uint64_t term = 0;
};

/** The call has a slot at a target. */
struct pool_assignment {
  static constexpr const char* kType = "pool_assignment";

  pool_id pool;
  ticket_id ticket = 0;
  target_id target;
  std::uint64_t term = 0;
};

/** A call needs its place in the queue or its slot no more. */
struct pool_departure {
  static constexpr const char* kType = "pool_departure";

  enum class reason { finished, failed, withdrawn };

  pool_id pool;
  ticket_id ticket = 0;
  reason why = reason::finished;
  call_usage usage;
};

/** A call that occupies a slot. */
struct running_call {
  work_item item;
  target_id target;
};

/** All calls of the sender that occupy slots of a pool; sent every second and
    to a new scheduling daemon. */
struct pool_running {
  static constexpr const char* kType = "pool_running";

  pool_id pool;
  std::uint64_t term = 0;
  std::vector<running_call> calls;
};

/** A session has ended: its cache may be dropped. */
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
