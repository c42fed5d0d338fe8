#ifndef GENTIAN_DECISIONS_PAUSE_ESTIMATE_H_
#define GENTIAN_DECISIONS_PAUSE_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Estimates the probability that an idle session makes another call, by the
    length of the pause since its last one.

    The estimate is a histogram of past pauses that ended either in another
    call or in the end of the session.
*/
class pause_estimate {
 public:
  /** Records that a session made its next call after a pause. */
  void RecordReturn(duration pause) { ++returned_.at(Bucket(pause)); }

  /** Records that a session ended this long after its last call. */
  void RecordEnd(duration pause) { ++ended_.at(Bucket(pause)); }

  /** Returns the probability of another call, given that the pause has already
      lasted this long. */
  double ReturnProbability(duration pause) const;

 private:
  /** Bucket limits are powers of two, from 64 ms on. */
  static constexpr std::size_t kBuckets = 16;

  static std::size_t Bucket(duration pause);

  std::array<double, kBuckets> returned_{};
  std::array<double, kBuckets> ended_{};
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_PAUSE_ESTIMATE_H_
