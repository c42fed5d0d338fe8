#ifndef GENTIAN_DECISIONS_CALL_KEY_H_
#define GENTIAN_DECISIONS_CALL_KEY_H_

#include <tuple>

#include "gentian_decisions/work_item.h"

namespace gentian {

/** Identifies a submission of a call to a pool's queue across daemons. */
struct call_key {
  incarnation owner;
  /** Number of the submission at its owner. */
  ticket_id ticket = 0;

  friend bool operator<(const call_key& a, const call_key& b) {
    return std::tie(a.ticket, a.owner) < std::tie(b.ticket, b.owner);
  }
  friend bool operator==(const call_key& a, const call_key& b) {
    return a.ticket == b.ticket && a.owner == b.owner;
  }
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALL_KEY_H_
