#include "gentian_turns/chain_lookup.h"

#include <criterion/criterion.h>

using namespace gentian;

namespace {

using state = chain_lookup::state;

std::vector<std::string> HostsOf(const chain_lookup::reads& reads) {
  std::vector<std::string> hosts;
  for (const chain_lookup::read& next : reads) {
    hosts.push_back(next.host);
  }
  return hosts;
}

using hosts = std::vector<std::string>;

}  // namespace

// Guards against asking every store for every turn.
Test(chain_lookup, asks_one_store_if_it_holds_the_chain) {
  chain_lookup subject("t3", {"a", "b", "c"});
  const auto reads = subject.Start();
  cr_assert(HostsOf(reads) == (hosts{"a"}));
  subject.OnPart(reads.front(), {"root", "one two three ", ""});
  cr_assert(subject.current() == state::found);
  cr_assert(subject.conversation() == "root");
  cr_assert(subject.TakePrompt("four") == "one two three four");
}

// Guards against a prompt with a gap, or in the wrong order, when no store
// holds the whole chain.
Test(chain_lookup, joins_the_parts_of_several_stores_oldest_first) {
  chain_lookup subject("t5", {"a", "b"});
  const auto first = subject.Start();
  const auto second = subject.OnPart(first.front(), {"root", "4 5 ", "t3"});
  cr_assert(HostsOf(second) == (hosts{"b"}), "a does not hold t3");
  cr_assert(second.front().turn_id == "t3");
  const auto third = subject.OnPart(second.front(), {"root", "2 3 ", "t1"});
  cr_assert(HostsOf(third) == (hosts{"a"}));
  subject.OnPart(third.front(), {"root", "1 ", ""});
  cr_assert(subject.TakePrompt("6") == "1 2 3 4 5 6");
}

// Guards against a turn that is declared unknown while a store that may hold it
// has not answered.
Test(chain_lookup, is_absent_only_if_every_store_says_so) {
  chain_lookup subject("t", {"a", "b", "c"});
  const auto first = subject.Start();
  const auto others = subject.OnAbsent(first.front());
  cr_assert(HostsOf(others) == (hosts{"b", "c"}));
  subject.OnAbsent(others[0]);
  cr_assert(subject.current() == state::pending);
  subject.OnAbsent(others[1]);
  cr_assert(subject.current() == state::absent);
}

Test(chain_lookup, is_uncertain_if_one_store_does_not_answer) {
  chain_lookup subject("t", {"a", "b"});
  const auto others = subject.OnUncertain(subject.Start().front());
  cr_assert(HostsOf(others) == (hosts{"b"}));
  subject.OnAbsent(others.front());
  cr_assert(subject.current() == state::uncertain);
}

Test(chain_lookup, is_uncertain_if_no_store_is_known) {
  chain_lookup subject("t", {});
  cr_assert(subject.Start().empty());
  cr_assert(subject.current() == state::uncertain);
}

// Guards against a 404 for a turn that exists, because an earlier turn of its
// chain was not found.
Test(chain_lookup, a_chain_with_a_gap_is_uncertain) {
  chain_lookup subject("t2", {"a", "b"});
  const auto second =
      subject.OnPart(subject.Start().front(), {"root", "2 ", "t1"});
  subject.OnAbsent(second.front());
  cr_assert(subject.current() == state::uncertain);
}

// Guards against a turn that waits for a frozen store.
Test(chain_lookup, a_slow_store_does_not_hold_up_the_turn) {
  chain_lookup subject("t", {"a", "b", "c"});
  const auto first = subject.Start();
  const auto second = subject.OnSlow();
  cr_assert(HostsOf(second) == (hosts{"b"}));
  subject.OnPart(second.front(), {"root", "x", ""});
  cr_assert(subject.current() == state::found);
  // The answer of the slow store has no effect.
  cr_assert(subject.OnAbsent(first.front()).empty());
  cr_assert(subject.OnPart(first.front(), {"root", "x", ""}).empty());
  cr_assert(subject.TakePrompt("") == "x");
}

// Guards against a late answer for one turn that is taken for another one's.
Test(chain_lookup, a_late_answer_for_an_earlier_turn_is_ignored) {
  chain_lookup subject("t2", {"a", "b"});
  const auto first = subject.Start();
  const auto slow = subject.OnSlow();
  subject.OnPart(first.front(), {"root", "2 ", "t1"});
  subject.OnPart(slow.front(), {"root", "2 ", "t1"});
  cr_assert(subject.current() == state::pending);
  subject.OnPart({"b", "t1"}, {"root", "1 ", ""});
  cr_assert(subject.TakePrompt("3") == "1 2 3");
}
