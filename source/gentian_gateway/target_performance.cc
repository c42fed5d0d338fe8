#include "gentian_gateway/target_performance.h"

#include <algorithm>

namespace gentian {

namespace {

// Requests differ in size. The average of fewer samples says more of the
// requests than of the target.
constexpr int kMinSamples = 4;
// Samples as many as which the median of the service counts.
constexpr double kMedianSamples = 4;
// The average covers about this number of samples, so that it follows a change
// of the target's speed.
constexpr int kAveragedSamples = 40;
constexpr int kAveragedReports = 10;

void Average(double& average, int& samples, double value, int most) {
  samples = std::min(samples + 1, most);
  average += (value - average) / samples;
}

}  // namespace

void target_performance::AddUnitTime(duration unit_time) {
  Average(unit_s_, unit_samples_, ToSeconds(unit_time), kAveragedSamples);
}

void target_performance::AddRequests(int requests) {
  Average(requests_, request_samples_, requests, kAveragedReports);
}

bool target_performance::IsLearned() const {
  return unit_samples_ >= kMinSamples;
}

duration target_performance::UnitTime(duration median) const {
  if (median.count() == 0) {
    return FromSeconds(unit_s_);
  }
  if (!IsLearned()) {
    return median;
  }
  return FromSeconds(
      (unit_samples_ * unit_s_ + kMedianSamples * ToSeconds(median)) /
      (unit_samples_ + kMedianSamples));
}

double target_performance::UsualRequests(double mean) const {
  return request_samples_ < kMinSamples ? mean : requests_;
}

}  // namespace gentian
