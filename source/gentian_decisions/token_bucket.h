#ifndef GENTIAN_DECISIONS_TOKEN_BUCKET_H_
#define GENTIAN_DECISIONS_TOKEN_BUCKET_H_

#include <algorithm>
#include <optional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** A token bucket that limits the rate of a local operation. */
class token_bucket {
 public:
  /** Creates a full bucket.

      @param rate   tokens added a second
      @param burst  capacity in tokens
  */
  token_bucket(double rate, double burst)
      : rate_(rate), burst_(burst), level_(burst) {}

  /** Sets the rate in tokens a second. It also applies to the time since the
      last TryTake. */
  void SetRate(double rate) { rate_ = rate; }

  /** Takes one token.
      @returns  false if the bucket has none */
  bool TryTake(steady_time now) {
    if (last_) {
      level_ = std::min(burst_, level_ + rate_ * ToSeconds(now - *last_));
    }
    last_ = now;
    if (level_ < 1.0) {
      return false;
    }
    level_ -= 1.0;
    return true;
  }

 private:
  double rate_;
  double burst_;
  double level_;
  std::optional<steady_time> last_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_TOKEN_BUCKET_H_
