#include "gentian_turns/origin_write.h"

#include <criterion/criterion.h>

using namespace gentian;

namespace {

using sends = origin_write::sends;

}  // namespace

// Guards against events that are passed on before enough disks hold the origin.
Test(origin_write, is_durable_when_enough_stores_hold_the_origin) {
  origin_write subject({"a", "b", "c"}, 2);
  cr_assert(subject.Start() == (sends{"a", "b"}));
  subject.OnStored("a", 1);
  subject.OnStored("a", 1);
  cr_assert(!subject.IsDurable());
  subject.OnStored("b", 1);
  cr_assert(subject.IsDurable());
}

// Guards against a stream that can't be resumed because one store is away.
Test(origin_write, other_stores_replace_failed_and_slow_ones) {
  origin_write subject({"a", "b", "c", "d"}, 2);
  subject.Start();
  cr_assert(subject.OnFailed("a", 1, true) == (sends{"c"}));
  cr_assert(subject.OnSlow() == (sends{"d"}));
  subject.OnStored("c", 1);
  subject.OnStored("d", 1);
  cr_assert(subject.IsDurable());
}

// Guards against a store that is left with the origin of an earlier send.
Test(origin_write, a_later_send_replaces_the_origin_everywhere) {
  origin_write subject({"a", "b", "c"}, 2);
  subject.Start();
  subject.OnStored("a", 1);
  // It may have stored the origin before it failed.
  cr_assert(subject.OnFailed("b", 1, false) == (sends{"c"}));
  cr_assert(subject.Start() == (sends{"a", "b", "c"}));
  subject.OnStored("a", 2);
  subject.OnStored("c", 2);
  cr_assert(!subject.IsDurable() && !subject.IsConsistent());
  subject.OnStored("b", 2);
  cr_assert(subject.IsDurable() && subject.IsConsistent());
}

// Guards against waiting for a store that never got the earlier origin.
Test(origin_write, a_store_that_was_not_reached_is_not_outdated) {
  origin_write subject({"a", "b", "c"}, 2);
  subject.Start();
  subject.OnFailed("a", 1, true);
  cr_assert(subject.Start() == (sends{"b", "c"}));
  subject.OnStored("b", 2);
  subject.OnStored("c", 2);
  cr_assert(subject.IsDurable());
}

// Guards against a late answer to an earlier send that counts for this one.
Test(origin_write, late_answers_of_an_earlier_send_do_not_count) {
  origin_write subject({"a", "b"}, 2);
  subject.Start();
  subject.Start();
  subject.OnStored("a", 1);
  subject.OnStored("b", 1);
  cr_assert(!subject.IsDurable() && !subject.IsConsistent());
}

// Guards against waiting while no store is left.
Test(origin_write, is_exhausted_when_all_have_failed) {
  origin_write none({}, 2);
  cr_assert(none.Start().empty());
  cr_assert(none.IsExhausted() && !none.IsDurable());
  origin_write subject({"a", "b"}, 2);
  subject.Start();
  subject.OnFailed("a", 1, true);
  cr_assert(!subject.IsExhausted());
  subject.OnFailed("b", 1, false);
  cr_assert(subject.IsExhausted() && !subject.IsDurable());
}
