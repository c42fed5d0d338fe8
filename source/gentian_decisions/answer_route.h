#ifndef GENTIAN_DECISIONS_ANSWER_ROUTE_H_
#define GENTIAN_DECISIONS_ANSWER_ROUTE_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Where the answer to a request goes. */
struct answer_route {
  /** Daemon that the caller is connected to; epoch 0 for this daemon. */
  incarnation via;
  /** The request at that daemon. */
  request_id id = 0;
  /** Hash of the key that the request came with; empty without a key. */
  std::string key_hash;
  /** True if events are wanted, not only the end. */
  bool stream = false;

  bool IsLocal() const { return via.epoch == 0; }
  bool IsSameRequest(const answer_route& other) const {
    return id == other.id && via == other.via;
  }
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_ANSWER_ROUTE_H_
