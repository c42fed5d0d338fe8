#include "gentian_turns/origin_lookup.h"

#include <criterion/criterion.h>

using namespace gentian;

namespace {

using asks = origin_lookup::asks;
using state = origin_lookup::state;

}  // namespace

// Guards against a search that ends while a store that holds the record is
// still to be asked.
Test(origin_lookup, asks_the_next_store_for_each_that_lacks_the_record) {
  origin_lookup subject({"a", "b", "c", "d"}, 2);
  cr_assert(subject.Start() == (asks{"a", "b"}));
  cr_assert(subject.OnAbsent("a") == (asks{"c"}));
  cr_assert(subject.OnFailed("b") == (asks{"d"}));
  cr_assert(subject.current() == state::pending);
  subject.OnFound();
  cr_assert(subject.current() == state::found);
}

// Guards against a search that takes a failed store for one without the record.
Test(origin_lookup, tells_absent_from_uncertain) {
  origin_lookup absent({"a", "b"}, 2);
  absent.Start();
  absent.OnAbsent("a");
  absent.OnAbsent("b");
  cr_assert(absent.current() == state::absent);
  origin_lookup uncertain({"a", "b"}, 2);
  uncertain.Start();
  uncertain.OnAbsent("a");
  uncertain.OnFailed("b");
  cr_assert(uncertain.current() == state::uncertain);
  origin_lookup nobody({}, 2);
  nobody.Start();
  cr_assert(nobody.current() == state::uncertain);
}

// Guards against a search that waits for frozen stores.
Test(origin_lookup, slow_stores_are_passed_over) {
  origin_lookup subject({"a", "b", "c", "d", "e"}, 2);
  subject.Start();
  cr_assert(subject.OnSlow() == (asks{"c", "d"}));
  cr_assert(subject.OnSlow() == (asks{"e"}));
  cr_assert(subject.OnSlow().empty());
  cr_assert(subject.current() == state::pending);
}
