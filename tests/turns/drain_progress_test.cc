#include <criterion/criterion.h>

#include "gentian_turns/gentian_turns.h"

using namespace gentian;

namespace {

constexpr std::int64_t kJournal = 7;

turn_store_directory Others(std::initializer_list<const char*> hosts) {
  turn_store_directory::records records;
  for (const char* host : hosts) {
    records[host] = {host, host, "", "start", false};
  }
  turn_store_directory directory;
  directory.Update(records, records);
  return directory;
}

}  // namespace

// Guards against a host that is taken away with the only copy of a turn.
Test(drain_progress, is_complete_when_all_others_have_read_everything) {
  const turn_store_directory others = Others({"a", "b"});
  drain_progress subject;
  cr_assert(!subject.IsComplete(others, 0));
  subject.OnRead({"a", kJournal, 10, true}, kJournal);
  cr_assert(!subject.IsComplete(others, 10));
  subject.OnRead({"b", kJournal, 9, true}, kJournal);
  cr_assert(!subject.IsComplete(others, 10));
  subject.OnRead({"b", kJournal, 10, true}, kJournal);
  cr_assert(subject.IsComplete(others, 10));
  cr_assert(!subject.IsComplete(others, 11), "a turn was stored since");
}

// Guards against counting a reader that still leaves turns to this store.
Test(drain_progress, a_reader_that_counts_on_this_store_does_not_count) {
  const turn_store_directory others = Others({"a"});
  drain_progress subject;
  subject.OnRead({"a", kJournal, 10, false}, kJournal);
  cr_assert(!subject.IsComplete(others, 10));
  subject.OnRead({"a", kJournal, 10, true}, kJournal);
  cr_assert(subject.IsComplete(others, 10));
  subject.OnRead({"a", kJournal, 10, false}, kJournal);
  cr_assert(!subject.IsComplete(others, 10));
}

Test(drain_progress, positions_of_an_earlier_disk_do_not_count) {
  const turn_store_directory others = Others({"a"});
  drain_progress subject;
  subject.OnRead({"a", kJournal - 1, 10, true}, kJournal);
  cr_assert(!subject.IsComplete(others, 10));
}

Test(drain_progress, a_store_without_others_is_never_emptied) {
  cr_assert(!drain_progress().IsComplete(Others({}), 0));
}
