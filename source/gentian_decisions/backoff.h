#ifndef GENTIAN_DECISIONS_BACKOFF_H_
#define GENTIAN_DECISIONS_BACKOFF_H_

#include <algorithm>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Exponential backoff with full jitter. */
class backoff {
 public:
  /** @param first    upper bound of the first delay
      @param longest  upper bound of every delay */
  backoff(milliseconds first, milliseconds longest)
      : first_(first), longest_(longest), next_(first) {}

  /** Returns a random delay from 0 up to the current bound, then doubles the
      bound up to its maximum. */
  duration NextDelay(random_source& random) {
    const double bound = ToSeconds(next_);
    next_ = std::min(longest_, next_ * 2);
    return FromSeconds(bound * random.Uniform());
  }

  /** Restores the first bound; called after a success. */
  void Reset() { next_ = first_; }

 private:
  milliseconds first_;
  milliseconds longest_;
  milliseconds next_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_BACKOFF_H_
