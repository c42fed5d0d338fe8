#ifndef GENTIAN_DECISIONS_PAUSE_ESTIMATE_H_
#define GENTIAN_DECISIONS_PAUSE_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** How likely a paused session is to return, by the length of its pause;
    learned from pauses that ended in another call or in the end of the
    session.
*/
class pause_estimate {
 public:
  /** A session made its next call after a pause. */
  void RecordReturn(duration pause) { ++returned_.at(Bucket(pause)); }

  /** A session ended after its last call. */
  void RecordEnd(duration pause) { ++ended_.at(Bucket(pause)); }

  /** Probability of another call after a pause that has lasted this long. */
  double ReturnProbability(duration pause) const;

 private:
  /** Powers of two from 64 ms on. */
  static constexpr std::size_t kBuckets = 16;

  static std::size_t Bucket(duration pause);

  std::array<double, kBuckets> returned_{};
  std::array<double, kBuckets> ended_{};
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_PAUSE_ESTIMATE_H_
