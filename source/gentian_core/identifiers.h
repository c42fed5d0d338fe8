#ifndef GENTIAN_CORE_IDENTIFIERS_H_
#define GENTIAN_CORE_IDENTIFIERS_H_

#include <cstdint>

#include "gentian_core/strong_id.h"

namespace gentian {

namespace detail {
struct host_tag {};
struct failure_domain_tag {};
struct team_tag {};
struct target_tag {};
struct pool_tag {};
struct program_tag {};
struct session_tag {};
struct shard_tag {};
}  // namespace detail

/** A machine that runs a daemon. */
using host_id = strong_id<detail::host_tag>;
/** A group of hosts that can fail together. */
using failure_domain_id = strong_id<detail::failure_domain_tag>;
/** A customer: owner of keys, a rate, a burst and budgets. */
using team_id = strong_id<detail::team_tag>;
/** A model engine or a plain service instance that receives calls. */
using target_id = strong_id<detail::target_tag>;
/** A set of interchangeable targets: one model or service in one region. */
using pool_id = strong_id<detail::pool_tag>;
/** An agent program, as configured by the operators. */
using program_id = strong_id<detail::program_tag>;
/** One run of an agent program: `<shard>.<counter>.<random>`. */
using session_id = strong_id<detail::session_tag>;
/** A group of sessions with one owner: `<host>-<epoch>-<index>`. */
using shard_id = strong_id<detail::shard_tag>;

/** A caller's request within one daemon incarnation. */
using request_id = std::uint64_t;
/** An attempt to run a call at a target, within one daemon incarnation. */
using dispatch_id = std::uint64_t;

/** Returns the shard that a session id names, or an empty id if the text is
    not a session id.
*/
shard_id ShardOf(const session_id& session);

}  // namespace gentian

#endif  // GENTIAN_CORE_IDENTIFIERS_H_
