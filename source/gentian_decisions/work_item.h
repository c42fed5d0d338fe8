#ifndef GENTIAN_DECISIONS_WORK_ITEM_H_
#define GENTIAN_DECISIONS_WORK_ITEM_H_

#include <cstdint>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Identifies a scheduled call within one incarnation. */
using ticket_id = std::uint64_t;

/** A call to be scheduled on a target of a pool. */
struct work_item {
  ticket_id ticket = 0;
  team_id team;
  program_id program;
  /** Empty for calls outside sessions. */
  session_id session;
  /** Root of the session tree; equal to `session` if it has no parent.
      Attained service is accounted by root, so that a program and its
      sub-agents count as one. */
  session_id root_session;
  pool_id pool;
  int priority = 0;
  /** Estimated tokens of the whole prompt, including the history. */
  std::uint64_t prompt_tokens = 0;
  /** Maximum number of tokens that the call may generate. */
  std::uint64_t max_tokens = 0;
  bool repeatable = true;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(work_item,
                                   ticket,
                                   team,
                                   program,
                                   session,
                                   root_session,
                                   pool,
                                   priority,
                                   prompt_tokens,
                                   max_tokens,
                                   repeatable)

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_WORK_ITEM_H_
