#ifndef GENTIAN_DECISIONS_SPEED_ESTIMATE_H_
#define GENTIAN_DECISIONS_SPEED_ESTIMATE_H_

#include <map>

#include "gentian_decisions/call_usage.h"
#include "gentian_decisions/work_item.h"

namespace gentian {

/** Estimates the speed of a pool's engines and the output length of programs.

    Call duration and generated tokens are moving averages over finished calls;
    the other values are constant.
*/
class speed_estimate {
 public:
  /** Updates the averages with a finished call.
      @param elapsed  time between assignment and end */
  void Record(const work_item& item, const call_usage& usage, duration elapsed);

  /** Milliseconds to prefill one prompt token. */
  double prefill_ms_per_token() const { return prefill_ms_per_token_; }

  /** Milliseconds per generated token that each further call in the batch
      adds. */
  double batching_ms_per_token() const { return batching_ms_per_token_; }

  /** Average duration of a call in milliseconds. */
  double call_ms() const { return call_ms_; }

  /** Tokens that a call is expected to generate, at most its max_tokens. */
  double ExpectedGeneratedTokens(const work_item& item) const;

 private:
  // Initial values in the range of common engines.
  double prefill_ms_per_token_ = 0.15;
  double batching_ms_per_token_ = 1.0;
  double call_ms_ = 2'000;
  std::map<program_id, double> generated_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SPEED_ESTIMATE_H_
