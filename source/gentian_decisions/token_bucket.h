#ifndef GENTIAN_DECISIONS_TOKEN_BUCKET_H_
#define GENTIAN_DECISIONS_TOKEN_BUCKET_H_

#include <algorithm>
#include <optional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Limits how often something local may happen: a bucket that starts full. */
class token_bucket {
 public:
  /** Creates a full bucket.

      @param rate   uses a second
      @param burst  uses that may come at once
  */
  token_bucket(double rate, double burst)
      : rate_(rate), burst_(burst), level_(burst) {}

  /** Changes the rate from now on. */
  void SetRate(double rate) { rate_ = rate; }

  /** Takes one use if there is one. */
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
