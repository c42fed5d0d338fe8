#include <criterion/criterion.h>

#include "gentian_gateway/planned_stop.h"

using namespace gentian;

namespace {

constexpr milliseconds kGrace{8'000};
constexpr milliseconds kMargin{500};

}  // namespace

// Guards against refusing requests from the signal on: callers keep addresses
// for a while, and the other hosts would bear the load.
Test(planned_stop, what_ends_by_its_deadline_is_sent) {
  planned_stop stop;
  const steady_time begin = BootTimeNow();
  cr_assert(stop.MaySend("r", std::chrono::hours(1), false, begin));
  stop.Begin(begin, kGrace);
  cr_assert(stop.ends_at() == begin + kGrace - kMargin);
  const steady_time late = begin + milliseconds(6'000);
  cr_assert(stop.MaySend("r", milliseconds(1'500), false, late));
  cr_assert(!stop.MaySend("r", milliseconds(1'501), false, late));
}

// Guards against requests that are cut off because their callers wait for
// longer than the stop takes.
Test(planned_stop, the_last_requests_of_a_route_tell) {
  planned_stop stop;
  const steady_time begin = BootTimeNow();
  stop.Begin(begin, kGrace);
  const milliseconds minute{60'000};
  cr_assert(!stop.MaySend("r", minute, true, begin), "nothing is known");
  stop.OnAnswered("r", milliseconds(1'000));
  stop.OnAnswered("r", milliseconds(100));
  cr_assert(stop.MaySend("r", minute, false, begin + milliseconds(3'400)));
  cr_assert(!stop.MaySend("r", minute, false, begin + milliseconds(3'600)));
  cr_assert(stop.MaySend("r", minute, true, begin + milliseconds(5'400)));
  cr_assert(!stop.MaySend("r", minute, true, begin + milliseconds(5'600)));
  cr_assert(!stop.MaySend("other", minute, true, begin));
  for (int i = 0; i < 64; ++i) {
    stop.OnAnswered("r", milliseconds(100));
  }
  cr_assert(stop.MaySend("r", minute, true, begin + milliseconds(7'200)));
}

// Guards against a margin that takes all of a short grace.
Test(planned_stop, a_short_grace_leaves_time) {
  planned_stop stop;
  const steady_time begin = BootTimeNow();
  stop.Begin(begin, milliseconds(400));
  cr_assert(stop.MaySend("r", milliseconds(300), false, begin));
}
