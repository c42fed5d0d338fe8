#include "gentian_log/line_sampler.h"

namespace gentian {

namespace {

constexpr std::chrono::seconds kWindow{1};
// A daemon is specified for 63 requests per second with at most two lines each
// and logs all of them at that load. At 600 bytes a line, this limit amounts to
// 120 KB/s.
constexpr int kUnsampledLinesPerWindow = 200;
constexpr std::uint64_t kSubjectSamplingDivisor = 16;

}  // namespace

bool line_sampler::Keep(const std::string& subject, steady_time now) {
  if (now - window_start_ >= kWindow) {
    window_start_ = now;
    lines_in_window_ = 0;
  }
  if (++lines_in_window_ <= kUnsampledLinesPerWindow ||
      StableHash(subject) % kSubjectSamplingDivisor == 0) {
    return true;
  }
  ++omitted_;
  return false;
}

}  // namespace gentian
