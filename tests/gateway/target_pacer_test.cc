// Tests the pacing of requests to targets that limit their rate.
#include <criterion/criterion.h>

#include <vector>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

// Times of the requests that one sender gets reserved if it asks every
// millisecond.
std::vector<int> Reserve(target_pacer& pacer, double rate, int from, int to) {
  std::vector<int> times;
  for (int ms = from; ms < to; ++ms) {
    if (pacer.Reserve({"a", rate, milliseconds(0), At(0)}, At(ms)).made) {
      times.push_back(ms);
    }
  }
  return times;
}

}  // namespace

// Guards against more requests in some span than the limit and a short burst,
// for senders that ask all the time and for those that return after a pause.
Test(target_pacer, no_span_has_more_than_the_limit_and_a_burst) {
  for (const double rate : {0.7, 2.5, 6.8, 40.0}) {
    target_pacer pacer;
    std::vector<int> times = Reserve(pacer, rate, 0, 12'000);
    const std::vector<int> later = Reserve(pacer, rate, 15'000, 27'000);
    times.insert(times.end(), later.begin(), later.end());
    constexpr int kSpanMs = 4'000;
    for (std::size_t first = 0; first < times.size(); ++first) {
      std::size_t count = 0;
      while (first + count < times.size() &&
             times[first + count] - times[first] <= kSpanMs) {
        ++count;
      }
      // Half a second of burst, the first request and rounding.
      cr_assert(static_cast<double>(count) <= rate * 4.5 + 2, "%zu at %f",
                count, rate);
    }
    cr_assert(static_cast<double>(later.size()) >= rate * 11, "%zu at %f",
              later.size(), rate);
  }
}

// Guards against senders that all come back at the same moment: each one that
// may wait has a time of its own.
Test(target_pacer, reserves_times_one_after_the_other) {
  target_pacer pacer;
  const target_pacer::request patient{"a", 4.0, milliseconds(700), At(0)};
  cr_assert(pacer.Reserve(patient, At(0)).wait == milliseconds(0));
  cr_assert(pacer.Reserve(patient, At(0)).wait == milliseconds(250));
  cr_assert(pacer.Reserve(patient, At(0)).wait == milliseconds(500));
  const target_pacer::reservation refused = pacer.Reserve(patient, At(0));
  cr_assert(!refused.made);
  cr_assert(refused.wait == milliseconds(750));
  // A refusal takes nothing.
  cr_assert(pacer.Reserve(patient, At(250)).wait == milliseconds(500));
}

// Guards against two gateways that both pace a target after a change of
// members: the new one starts late.
Test(target_pacer, starts_no_earlier_than_it_may) {
  target_pacer pacer;
  const target_pacer::request subject{"a", 10.0, milliseconds(0), At(1'500)};
  const target_pacer::reservation early = pacer.Reserve(subject, At(0));
  cr_assert(!early.made);
  cr_assert(early.wait == milliseconds(1'500));
  cr_assert(!pacer.Reserve(subject, At(1'499)).made);
  cr_assert(pacer.Reserve(subject, At(1'500)).made);
  cr_assert(!pacer.Reserve(subject, At(1'500)).made, "no burst at the start");
}

// Guards against a target that takes nothing and is never asked again, so that
// its limit stays after the target has lifted it.
Test(target_pacer, a_target_that_takes_nothing_is_still_tried) {
  target_pacer pacer;
  const std::size_t count = Reserve(pacer, 0, 0, 20'000).size();
  cr_assert(count >= 4 && count <= 6, "%zu", count);
}
