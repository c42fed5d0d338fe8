#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

namespace {

constexpr milliseconds kRetention{60'000};

steady_time At(int seconds) {
  return steady_time(std::chrono::hours(1) + std::chrono::seconds(seconds));
}

std::map<std::string, member_record> Members(
    const std::vector<std::string>& hosts) {
  std::map<std::string, member_record> members;
  for (const std::string& host : hosts) {
    member_record member;
    member.host = host;
    members[MemberKey(host)] = member;
  }
  return members;
}

// A program that a host owns among several.
std::string ProgramOf(const std::string& owner,
                      const std::vector<std::string>& hosts) {
  const auto members = Members(hosts);
  for (int i = 0;; ++i) {
    std::string program = "program-" + std::to_string(i);
    const member_record* found =
        OwnerOf(program, members, [](const member_record&) { return true; });
    if (found->host == owner) {
      return program;
    }
  }
}

unclaimed_start_policy Policy(const std::string& host) {
  return {MemberKey(host), kRetention};
}

}  // namespace

// Guards against a turn beyond the budget after each start of an owner: a
// program whose claim this start has not read is not new.
Test(unclaimed_start_policy, a_program_with_a_claim_is_not_new_after_a_start) {
  unclaimed_start_policy policy = Policy("a");
  policy.OnMembers(Members({"a"}), false, At(0));
  cr_assert(policy.NeedsClaims(At(0)));
  cr_assert(!policy.MayStart("old", At(1)));
  cr_assert(!policy.MayStart("new", At(1)));
  policy.OnClaims({"old"});
  cr_assert(!policy.NeedsClaims(At(2)));
  cr_assert(!policy.MayStart("old", At(2)));
  cr_assert(policy.MayStart("new", At(2)));
}

// Guards against a turn beyond the budget after each change of owners.
Test(unclaimed_start_policy, programs_of_a_lost_member_are_not_new) {
  const std::vector<std::string> all = {"a", "b", "c"};
  const std::string own = ProgramOf("a", all);
  const std::string moved = [] {
    // A program of b that a owns without it.
    for (int i = 0;; ++i) {
      std::string program = "moved-" + std::to_string(i);
      const auto any = [](const member_record&) { return true; };
      if (OwnerOf(program, Members({"a", "b", "c"}), any)->host == "b" &&
          OwnerOf(program, Members({"a", "c"}), any)->host == "a") {
        return program;
      }
    }
  }();
  unclaimed_start_policy policy = Policy("a");
  policy.OnMembers(Members(all), false, At(0));
  policy.OnClaims({});
  cr_assert(policy.MayStart(own, At(1)));
  policy.OnMembers(Members({"a", "c"}), false, At(2));
  cr_assert(policy.MayStart(own, At(3)));
  cr_assert(!policy.MayStart(moved, At(3)));
  cr_assert(policy.NeedsClaims(At(3)));
  policy.OnClaims({});
  cr_assert(policy.MayStart(moved, At(4)));
  // A member that begins to stop is lost, too.
  auto stopping = Members({"a", "c"});
  stopping.at(MemberKey("c")).stopping = true;
  policy.OnMembers(stopping, false, At(5));
  cr_assert(policy.NeedsClaims(At(5)));
}

// Guards against calls for lists of claims that say nothing new.
Test(unclaimed_start_policy, a_member_that_returns_needs_no_list) {
  unclaimed_start_policy policy = Policy("a");
  policy.OnMembers(Members({"a", "b"}), false, At(0));
  policy.OnClaims({});
  policy.OnMembers(Members({"a"}), false, At(1));
  policy.OnMembers(Members({"a", "b"}), false, At(2));
  policy.OnMembers(Members({"a", "b", "c"}), false, At(3));
  cr_assert(!policy.NeedsClaims(At(3)));
  cr_assert(policy.MayStart(ProgramOf("a", {"a", "b", "c"}), At(3)));
}

// Guards against programs that are never new again because there are too many
// claims to list.
Test(unclaimed_start_policy, without_a_list_programs_are_new_after_a_pause) {
  const std::vector<std::string> all = {"a", "b"};
  unclaimed_start_policy policy = Policy("a");
  policy.OnMembers(Members(all), false, At(0));
  const std::string own = ProgramOf("a", all);
  cr_assert(!policy.MayStart(own, At(59)));
  cr_assert(policy.MayStart(own, At(60)));
  const std::string moved = ProgramOf("b", all);
  policy.OnMembers(Members({"a"}), false, At(70));
  cr_assert(!policy.MayStart(moved, At(129)));
  cr_assert(policy.MayStart(moved, At(130)));
}

// Guards against a second turn beyond the budget of a program whose first one
// is known to nobody, because its owner failed in the outage in which it ran.
Test(unclaimed_start_policy, nothing_is_new_after_a_failure_in_an_outage) {
  const std::string program = ProgramOf("a", {"a"});
  unclaimed_start_policy lost = Policy("a");
  lost.OnMembers(Members({"a", "b"}), false, At(0));
  lost.OnClaims({});
  lost.OnMembers(Members({"a"}), true, At(10));
  lost.OnClaims({});
  cr_assert(!lost.MayStart(program, At(69)));
  cr_assert(lost.MayStart(program, At(70)));

  unclaimed_start_policy restarted = Policy("a");
  restarted.OnMembers(Members({"a"}), true, At(0));
  restarted.OnClaims({});
  cr_assert(!restarted.MayStart(program, At(59)));
  cr_assert(restarted.MayStart(program, At(60)));

  unclaimed_start_policy unharmed = Policy("a");
  unharmed.OnMembers(Members({"a"}), false, At(0));
  unharmed.OnClaims({});
  unharmed.OnMembers(Members({"a", "b"}), true, At(10));
  cr_assert(unharmed.MayStart(ProgramOf("a", {"a", "b"}), At(11)));
}

// Guards against a turn beyond the budget at a daemon that was frozen or cut
// off while others owned its programs, and that has seen no change of members.
Test(unclaimed_start_policy, nothing_is_new_after_a_time_without_a_record) {
  unclaimed_start_policy policy = Policy("a");
  policy.OnMembers(Members({"a"}), false, At(0));
  policy.OnClaims({});
  policy.OnRecordLost(At(100));
  cr_assert(policy.NeedsClaims(At(100)));
  cr_assert(!policy.MayStart("program", At(101)));
  policy.OnClaims({"program"});
  cr_assert(!policy.MayStart("program", At(102)));
  cr_assert(policy.MayStart("new", At(102)));
}
