#include "gentian_turns/turn_write.h"

#include <criterion/criterion.h>

using namespace gentian;

namespace {

using state = turn_write::state;
using sends = turn_write::sends;

}  // namespace

// Guards against a turn that counts before enough disks hold it.
Test(turn_write, is_durable_when_enough_stores_hold_the_turn) {
  turn_write subject({"a", "b", "c"}, 2);
  cr_assert(subject.Start() == (sends{"a", "b"}));
  cr_assert(subject.OnStored("a").empty());
  cr_assert(subject.current() == state::pending);
  subject.OnStored("b");
  cr_assert(subject.current() == state::durable);
}

// Guards against counting one store twice.
Test(turn_write, an_answer_that_comes_twice_counts_once) {
  turn_write subject({"a", "b"}, 2);
  subject.Start();
  subject.OnStored("a");
  subject.OnStored("a");
  cr_assert(subject.current() == state::pending);
}

// Guards against a turn that is lost to its caller because one store is gone.
Test(turn_write, a_failed_store_is_replaced_by_the_next) {
  turn_write subject({"a", "b", "c"}, 2);
  subject.Start();
  cr_assert(subject.OnFailed("a") == (sends{"c"}));
  subject.OnStored("b");
  cr_assert(subject.current() == state::pending);
  cr_assert(subject.OnFailed("c").empty());
  cr_assert(subject.current() == state::failed);
}

// Guards against a caller that waits for a frozen store.
Test(turn_write, a_slow_store_is_replaced_and_its_late_answer_counts) {
  turn_write subject({"a", "b", "c", "d"}, 2);
  subject.Start();
  subject.OnStored("a");
  cr_assert(subject.OnSlow() == (sends{"c"}));
  subject.OnStored("b");
  cr_assert(subject.current() == state::durable);
  cr_assert(subject.OnSlow().empty());
}

Test(turn_write, fails_without_enough_stores) {
  turn_write subject({"a"}, 2);
  cr_assert(subject.Start() == (sends{"a"}));
  subject.OnStored("a");
  cr_assert(subject.current() == state::failed);
}
