#include "gentian_gateway/gateway_directory.h"

#include <criterion/criterion.h>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

using strings = std::vector<std::string>;

const std::vector<named_gateway> kGateways = {{"g-a", "a"},
                                              {"g-b", "b"},
                                              {"g-c", "c"},
                                              {"g-none", ""}};

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

std::map<std::string, member_record> Records(int first, int last) {
  std::map<std::string, member_record> records;
  for (int i = first; i <= last; ++i) {
    const std::string host = "host-" + std::to_string(i);
    records[MemberKey(host)] = {host, "z", "", "", false};
  }
  return records;
}

}  // namespace

// Guards against a change of the answers where no route has homes.
Test(gateway_directory, names_all_without_homes) {
  const strings all = {"g-a", "g-b", "g-c", "g-none"};
  cr_assert(AddressesFor(kGateways, {}, "") == all);
  cr_assert(AddressesFor(kGateways, {}, "a") == all);
  cr_assert(AddressesFor({}, {{"a"}}, "a").empty());
}

// Guards against callers that are led to a gateway outside the homes, and
// against ones that are led to none.
Test(gateway_directory, names_gateways_in_homes_or_at_the_caller) {
  cr_assert(AddressesFor(kGateways, {{"a"}}, "") == strings{"g-a"});
  cr_assert(AddressesFor(kGateways, {{"a"}}, "c") == (strings{"g-a", "g-c"}));
  cr_assert(AddressesFor(kGateways, {{"x"}}, "c") == strings{"g-c"});
  // Without any there, the requests are led elsewhere.
  cr_assert(AddressesFor(kGateways, {{"x"}}, "y").size() == 4);
  cr_assert(AddressesFor(kGateways, {{""}}, "").size() == 4);
}

// Guards against a gateway that is a home of one route of the host name only
// while others are homes of all.
Test(gateway_directory, prefers_homes_of_all_routes) {
  cr_assert(AddressesFor(kGateways, {{"a", "b"}, {"b", "c"}}, "") ==
            strings{"g-b"});
  cr_assert(AddressesFor(kGateways, {{"a"}, {"b"}}, "") ==
            (strings{"g-a", "g-b"}));
}

// Guards against a directory that names gateways which ended with most others,
// or while the listing was old: they stay members for a while.
Test(gateway_directory, members_that_stay_are_not_listed) {
  gateway_members subject(MemberKey("host-0"));
  subject.Update(Records(0, 9), At(0));
  cr_assert(subject.WasListed(MemberKey("host-9"), At(0)));
  cr_assert(!subject.WasListed(MemberKey("host-9"), At(1)));
  subject.Update(Records(0, 2), At(1'000));
  cr_assert(subject.members().size() == 10);
  cr_assert(subject.WasListed(MemberKey("host-2"), At(1'000)));
  cr_assert(!subject.WasListed(MemberKey("host-9"), At(500)));
  // After a gap, they are members again; still nothing has shown them.
  subject.Update(Records(0, 2), At(20'000));
  cr_assert(!subject.WasListed(MemberKey("host-9"), At(500)));
  cr_assert(!subject.WasListed(MemberKey("unknown"), At(0)));
}
