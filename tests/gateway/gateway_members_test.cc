#include "gentian_gateway/gateway_members.h"

#include <criterion/criterion.h>

using namespace gentian;

namespace {

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

// Records of the daemons first to last.
std::map<std::string, member_record> Records(int first, int last) {
  std::map<std::string, member_record> records;
  for (int i = first; i <= last; ++i) {
    const std::string host = "host-" + std::to_string(i);
    records[MemberKey(host)] = {host, "z", "", "", false};
  }
  return records;
}

}  // namespace

// Guards against requests to a daemon that has failed, and against others
// granting its share of the allowances while it may still serve.
Test(gateway_members, a_daemon_that_vanishes_is_no_member_but_may_still_grant) {
  gateway_members subject(MemberKey("host-0"));
  cr_assert(subject.Update(Records(0, 5), At(0)));
  cr_assert(!subject.Update(Records(0, 5), At(1'500)));
  cr_assert(subject.Update(Records(0, 4), At(3'000)));
  cr_assert(subject.members().size() == 5);
  cr_assert(subject.PossibleGranters().size() == 6);
  subject.Update(Records(0, 4), At(4'500));
  subject.Update(Records(0, 4), At(6'400));
  cr_assert(subject.PossibleGranters().size() == 6);
  subject.Update(Records(0, 4), At(6'500));
  cr_assert(subject.PossibleGranters().size() == 5);
}

// Guards against programs that change owners, and allowances that change
// holders, because an outage of the key-value service outlasted the leases.
Test(gateway_members, members_stay_through_an_outage) {
  gateway_members subject(MemberKey("host-0"));
  subject.Update(Records(0, 63), At(0));
  const auto before = subject.PossibleGranters();
  // All leases have expired; the daemons register again one after another.
  subject.Update(Records(0, 2), At(8'000));
  cr_assert(subject.members().size() == 64);
  subject.Update(Records(0, 40), At(9'500));
  cr_assert(subject.PossibleGranters() == before);
  subject.Update(Records(0, 63), At(11'000));
  cr_assert(subject.members().size() == 64);
  cr_assert(subject.PossibleGranters() == before);
}

// Guards against a daemon that failed during an outage and stays a member.
Test(gateway_members, a_daemon_that_is_not_back_after_an_outage_is_dropped) {
  gateway_members subject(MemberKey("host-0"));
  subject.Update(Records(0, 5), At(0));
  subject.Update(Records(0, 4), At(8'000));
  cr_assert(subject.members().size() == 5);
  subject.Update(Records(0, 4), At(9'500));
  subject.Update(Records(0, 4), At(11'000));
  subject.Update(Records(0, 4), At(12'500));
  subject.Update(Records(0, 4), At(14'000));
  cr_assert(subject.PossibleGranters().size() == 5);
}

// Guards against the first daemon of a fleet that divides by zero.
Test(gateway_members, this_daemon_may_always_grant) {
  const gateway_members subject(MemberKey("host-0"));
  cr_assert(subject.members().empty());
  cr_assert(subject.PossibleGranters().size() == 1);
}
