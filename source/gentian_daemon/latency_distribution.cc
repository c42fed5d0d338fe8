#include "gentian_daemon/latency_distribution.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cassert>
#include <cmath>
#include <vector>

namespace gentian {

namespace {

namespace accumulators = boost::accumulators;

using quantile_set = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::sum,
                        accumulators::tag::extended_p_square>>;

constexpr std::array<double, 3> kProbabilities = {0.5, 0.95, 0.99};
// The P² estimator starts with 2 markers for each quantile and 3 more; before
// it has that many samples its result is not defined.
constexpr std::size_t kFirstSamples = 2 * kProbabilities.size() + 3;

}  // namespace

struct latency_distribution::state {
  quantile_set samples{accumulators::extended_p_square_probabilities =
                           kProbabilities};
  std::vector<double> first;
};

latency_distribution::latency_distribution()
    : state_(std::make_unique<state>()) {}
latency_distribution::~latency_distribution() = default;
latency_distribution::latency_distribution(latency_distribution&&) noexcept =
    default;
latency_distribution& latency_distribution::operator=(
    latency_distribution&&) noexcept = default;

void latency_distribution::Add(duration value) {
  const double seconds = ToSeconds(value);
  state_->samples(seconds);
  if (state_->first.size() < kFirstSamples) {
    state_->first.push_back(seconds);
  }
}

std::uint64_t latency_distribution::count() const {
  return accumulators::count(state_->samples);
}

double latency_distribution::SumSeconds() const {
  return accumulators::sum(state_->samples);
}

double latency_distribution::QuantileSeconds(double probability) const {
  const auto* const found =
      std::find(kProbabilities.begin(), kProbabilities.end(), probability);
  assert(found != kProbabilities.end());
  if (count() == 0 || found == kProbabilities.end()) {
    return 0;
  }
  if (count() > kFirstSamples) {
    return accumulators::extended_p_square(
        state_->samples)[static_cast<std::size_t>(found -
                                                  kProbabilities.begin())];
  }
  std::vector<double> sorted = state_->first;
  std::sort(sorted.begin(), sorted.end());
  const double rank =
      std::ceil(probability * static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(rank) - 1];
}

}  // namespace gentian
