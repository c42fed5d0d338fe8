#include "gentian_log/line_sampler.h"

#include <criterion/criterion.h>

using namespace gentian;

namespace {

constexpr int kLines = 4'000;

std::string Subject(int number) {
  return "program-" + std::to_string(number);
}

}  // namespace

// Guards against sampling at the load that a daemon is specified for.
Test(line_sampler, keeps_all_lines_of_an_ordinary_load) {
  line_sampler sampler;
  for (int i = 0; i < kLines; ++i) {
    // 63 requests per second and daemon, two lines each.
    cr_assert(sampler.Keep(Subject(i),
                           steady_time(std::chrono::hours(1)) +
                               std::chrono::microseconds(1'000'000 / 126) * i));
  }
  cr_assert(sampler.omitted() == 0);
}

// Guards against a log volume that grows in proportion to the load, and against
// daemons that sample different programs.
Test(line_sampler, keeps_the_same_subjects_in_all_processes) {
  const steady_time now{std::chrono::hours(1)};
  line_sampler one;
  line_sampler other;
  for (int i = 0; i < kLines; ++i) {
    one.Keep(Subject(i), now);
  }
  for (int i = 0; i < kLines; ++i) {
    other.Keep(Subject(kLines + i), now);
  }
  int kept = 0;
  for (int i = 0; i < kLines; ++i) {
    const bool by_one = one.Keep(Subject(i), now);
    cr_assert(by_one == other.Keep(Subject(i), now));
    kept += by_one ? 1 : 0;
  }
  cr_assert(kept > kLines / 32);
  cr_assert(kept < kLines / 8);
  cr_assert(one.omitted() > 0);
}
