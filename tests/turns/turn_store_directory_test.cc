#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "gentian_turns/gentian_turns.h"

using namespace gentian;

namespace {

turn_store_directory::records Stores(int first, int last, int domains = 3) {
  turn_store_directory::records records;
  for (int i = first; i <= last; ++i) {
    const std::string host = "store-" + std::to_string(i);
    records[host] = {host, "zone-" + std::to_string(i % domains),
                     "127.0.0.1:" + std::to_string(i), "start-1", false};
  }
  return records;
}

}  // namespace

// Guards against copies of a turn that are lost together with one failure
// domain.
Test(turn_store_directory, copies_lie_in_different_failure_domains) {
  turn_store_directory subject;
  subject.Update(Stores(0, 9), Stores(0, 9));
  for (int i = 0; i < 100; ++i) {
    const auto order = subject.Placement("conversation-" + std::to_string(i));
    cr_assert(order.size() == 10);
    std::set<std::string> domains;
    for (std::size_t copy = 0; copy < 3; ++copy) {
      domains.insert(subject.known().at(order[copy]).failure_domain);
    }
    cr_assert(domains.size() == 3);
  }
}

// Guards against moving more turns than those of the store that is gone.
Test(turn_store_directory, a_lost_store_moves_only_its_own_conversations) {
  turn_store_directory before;
  before.Update(Stores(0, 9, 10), Stores(0, 9, 10));
  turn_store_directory after;
  after.Update(Stores(0, 8, 10), Stores(0, 9, 10));
  for (int i = 0; i < 100; ++i) {
    const std::string name = "conversation-" + std::to_string(i);
    std::vector<std::string> expected = before.Placement(name);
    expected.erase(std::find(expected.begin(), expected.end(), "store-9"));
    cr_assert(after.Placement(name) == expected);
  }
}

// Guards against a turn that is taken for absent because the only store that
// holds it does not run, and was not asked.
Test(turn_store_directory, every_disk_is_read_whether_its_store_runs_or_not) {
  turn_store_directory subject;
  auto running = Stores(0, 2);
  running["store-1"].draining = true;
  subject.Update(running, Stores(0, 4));
  cr_assert(subject.accepting().size() == 2);
  const auto order = subject.ReadOrder("c", 2, "zone-2");
  cr_assert(order.size() == 5);
  cr_assert(order.front() == "store-2", "the reader's own failure domain");
  cr_assert(subject.Placement("c").size() == 2);
}

// Guards against a rush of copying, and turns that find no store, after an
// outage of the key-value service in which all leases expired.
Test(turn_store_directory, stores_stay_through_an_outage) {
  turn_store_directory subject;
  subject.Update(Stores(0, 9), Stores(0, 9));
  cr_assert(!subject.Update(Stores(0, 1), Stores(0, 9)));
  cr_assert(subject.accepting().size() == 10);
  // One store alone that disappears is gone.
  cr_assert(subject.Update(Stores(0, 8), Stores(0, 9)));
  cr_assert(subject.accepting().size() == 9);
}

// Guards against a store that lost its disk and is not noticed, because it was
// back before its lease expired.
Test(turn_store_directory, a_restarted_store_changes_the_placement) {
  turn_store_directory subject;
  subject.Update(Stores(0, 2), Stores(0, 2));
  auto restarted = Stores(0, 2);
  restarted["store-1"].incarnation = "start-2";
  cr_assert(subject.Update(restarted, Stores(0, 2)));
  cr_assert(!subject.Update(restarted, Stores(0, 2)));
}

Test(turn_store_directory, records_survive_their_stored_form) {
  const turn_store_record record{"h", "z", "1.2.3.4:5", "i", true};
  const auto read = DecodeTurnStore(EncodeTurnStore(record));
  cr_assert(read && read->host == "h" && read->failure_domain == "z" &&
            read->address == "1.2.3.4:5" && read->incarnation == "i" &&
            read->draining);
  cr_assert(!DecodeTurnStore("[]"));
  cr_assert(!DecodeTurnStore(R"({"host":3})"));
}
