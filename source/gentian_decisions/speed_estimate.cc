#include "gentian_decisions/speed_estimate.h"

#include <algorithm>

namespace gentian {

namespace {

constexpr double kSmoothingFactor = 0.05;
// Used for programs without a finished call.
constexpr double kDefaultGeneratedTokens = 200;

}  // namespace

void speed_estimate::Record(const work_item& item,
                            const call_usage& usage,
                            duration elapsed) {
  const double total_ms = ToSeconds(elapsed) * 1'000;
  call_ms_ += kSmoothingFactor * (total_ms - call_ms_);
  const auto generated = static_cast<double>(usage.generated_tokens);
  const auto found = generated_.try_emplace(item.program, generated).first;
  found->second += kSmoothingFactor * (generated - found->second);
}

double speed_estimate::ExpectedGeneratedTokens(const work_item& item) const {
  const auto found = generated_.find(item.program);
  const double expected =
      found == generated_.end() ? kDefaultGeneratedTokens : found->second;
  return std::min(expected, static_cast<double>(
                                std::max<std::uint64_t>(item.max_tokens, 1)));
}

}  // namespace gentian
