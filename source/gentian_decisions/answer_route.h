#ifndef GENTIAN_DECISIONS_ANSWER_ROUTE_H_
#define GENTIAN_DECISIONS_ANSWER_ROUTE_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Destination of the answer to a request. */
struct answer_route {
  /** Daemon the caller is connected to; epoch 0 stands for this daemon. */
  incarnation via;
  /** Id of the request at that daemon. */
  request_id id = 0;
  /** Hash of the API key of the request; empty without a key. */
  std::string key_hash;
  /** True if the caller wants events and not only the end. */
  bool stream = false;

  bool IsLocal() const { return via.epoch == 0; }
  bool IsSameRequest(const answer_route& other) const {
    return id == other.id && via == other.via;
  }
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_ANSWER_ROUTE_H_
