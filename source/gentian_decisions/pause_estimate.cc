#include "gentian_decisions/pause_estimate.h"

namespace gentian {

namespace {

constexpr milliseconds kFirstBucket{64};
// Weight of the prior: the estimate starts as if this many pauses had been
// recorded, half of which ended in a call.
constexpr double kPriorPauses = 4;

}  // namespace

std::size_t pause_estimate::Bucket(duration pause) {
  std::size_t bucket = 0;
  duration limit = kFirstBucket;
  while (bucket + 1 < kBuckets && pause >= limit) {
    limit *= 2;
    ++bucket;
  }
  return bucket;
}

double pause_estimate::ReturnProbability(duration pause) const {
  double returned = kPriorPauses / 2;
  double all = kPriorPauses;
  for (std::size_t i = Bucket(pause); i < kBuckets; ++i) {
    returned += returned_.at(i);
    all += returned_.at(i) + ended_.at(i);
  }
  return returned / all;
}

}  // namespace gentian
