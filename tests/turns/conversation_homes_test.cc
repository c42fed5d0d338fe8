#include <criterion/criterion.h>

#include "gentian_turns/gentian_turns.h"

using namespace gentian;

namespace {

using strings = std::vector<std::string>;

turn_store_directory Stores(const std::vector<std::string>& domains) {
  turn_store_directory::records running;
  for (const std::string& domain : domains) {
    const std::string host = "store-" + domain;
    running[host] = {host, domain, "", "1", false};
  }
  turn_store_directory directory;
  directory.Update(running, running);
  return directory;
}

}  // namespace

// Guards against homes that are lost, or change, on the way to another store.
Test(conversation_homes, are_read_from_the_name) {
  cr_assert(!HomesOfConversation("program"));
  for (const strings& homes : {strings{"a"}, strings{"a", "b"}, strings{}}) {
    const std::string name = ConversationWithHomes("program", homes);
    cr_assert(HomesOfConversation(name) == homes);
  }
}

// Guards against copies that a store makes although it is in no home.
Test(conversation_homes, a_store_elsewhere_copies_no_turn) {
  const turn_store_directory subject = Stores({"a1", "a2", "b1", "b2"});
  const auto at_home = [](const turn_store_record& store) {
    return store.failure_domain.front() == 'a';
  };
  for (int i = 0; i < 50; ++i) {
    const std::string name =
        ConversationWithHomes("p" + std::to_string(i), {"a"});
    cr_assert(subject.IsPlacedAt("store-a1", name, 2, at_home));
    cr_assert(subject.IsPlacedAt("store-a2", name, 2, at_home));
    cr_assert(!subject.IsPlacedAt("store-b1", name, 2, at_home));
    cr_assert(!subject.IsPlacedAt("store-b2", name, 2, at_home));
    // Without homes, as before.
    int placed = 0;
    for (const char* host : {"store-a1", "store-a2", "store-b1", "store-b2"}) {
      placed += subject.IsPlacedAt(host, name, 2) ? 1 : 0;
    }
    cr_assert(placed == 2);
  }
}
