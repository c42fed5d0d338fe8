#ifndef GENTIAN_DECISIONS_SPEED_ESTIMATE_H_
#define GENTIAN_DECISIONS_SPEED_ESTIMATE_H_

#include <map>

#include "gentian_decisions/call_usage.h"
#include "gentian_decisions/work_item.h"

namespace gentian {

/** How fast the engines of a pool work and how much the programs generate,
    learned from finished calls.
*/
class speed_estimate {
 public:
  /** Records a finished call.
      @param elapsed  time between assignment and end */
  void Record(const work_item& item, const call_usage& usage, duration elapsed);

  /** Milliseconds to compute one prompt token. */
  double prefill_ms_per_token() const { return prefill_ms_per_token_; }

  /** Milliseconds that one more call in the batch adds to a generated token.
   */
  double batching_ms_per_token() const { return batching_ms_per_token_; }

  /** Milliseconds of a typical call. */
  double call_ms() const { return call_ms_; }

  /** Tokens that a call is expected to generate. */
  double ExpectedGeneratedTokens(const work_item& item) const;

 private:
  // Starting values lie in the range of common engines.
  double prefill_ms_per_token_ = 0.15;
  double batching_ms_per_token_ = 1.0;
  double call_ms_ = 2'000;
  std::map<program_id, double> generated_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SPEED_ESTIMATE_H_
