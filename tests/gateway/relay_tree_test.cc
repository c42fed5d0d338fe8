#include "gentian_gateway/relay_tree.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>

using namespace gentian;

namespace {

std::map<std::string, member_record> Fleet(int size, int domains = 3) {
  std::map<std::string, member_record> members;
  for (int i = 0; i < size; ++i) {
    const std::string host = "host-" + std::to_string(i);
    members[MemberKey(host)] = {host, "zone-" + std::to_string(i % domains), "",
                                "", false};
  }
  return members;
}

relay_tree TreeOf(const std::map<std::string, member_record>& members,
                  const std::string& self) {
  relay_tree tree;
  tree.Update(members, self);
  return tree;
}

}  // namespace

// The load: each gateway of a fleet lists the key-value service for itself, so
// that the calls grow with the fleet until they cost more than the traffic
// earns. Guards against more than a few readers, a gateway that is followed by
// too many, and one that is far from what was read.
Test(relay_tree, calls_do_not_grow_with_the_fleet) {
  constexpr int kMaxDepth = 3;
  for (const int size : {1, 2, 6, 9, 64, 259, 620}) {
    const auto members = Fleet(size);
    std::set<std::string> readers;
    std::map<std::string, std::size_t> followers;
    std::map<std::string, std::string> parents;
    for (const auto& [key, member] : members) {
      const relay_tree tree = TreeOf(members, key);
      if (tree.IsReader()) {
        readers.insert(key);
      } else {
        parents[key] = tree.sources().front();
        ++followers[tree.sources().front()];
      }
    }
    cr_assert(readers.size() ==
              std::min<std::size_t>(relay_tree::kReaders, members.size()));
    for (const auto& [key, count] : followers) {
      cr_assert(count <= relay_tree::kMaxFollowers, "%d: %zu", size, count);
    }
    for (const auto& [key, parent] : parents) {
      std::string next = key;
      int depth = 0;
      while (readers.count(next) == 0) {
        next = parents.at(next);
        cr_assert(++depth <= kMaxDepth);
      }
    }
  }
}

// Guards against losing every reader with one failure domain.
Test(relay_tree, readers_are_in_different_failure_domains) {
  for (int size = 3; size < 60; ++size) {
    const auto members = Fleet(size);
    std::set<std::string> domains;
    for (const auto& [key, member] : members) {
      if (TreeOf(members, key).IsReader()) {
        domains.insert(member.failure_domain);
      }
    }
    cr_assert(domains.size() == relay_tree::kReaders);
  }
}

// Guards against a gateway that has nobody else to turn to when its parent
// fails, and readers that don't help each other.
Test(relay_tree, every_gateway_has_another_source) {
  const auto members = Fleet(259);
  for (const auto& [key, member] : members) {
    const relay_tree tree = TreeOf(members, key);
    cr_assert(tree.sources().size() >= (tree.IsReader() ? 1 : 2));
    cr_assert(
        std::set<std::string>(tree.sources().begin(), tree.sources().end())
            .count(key) == 0);
  }
}

Test(relay_tree, a_stopping_gateway_is_nobodys_source) {
  auto members = Fleet(9);
  std::string reader;
  for (const auto& [key, member] : members) {
    reader = TreeOf(members, key).IsReader() ? key : reader;
  }
  members[reader].stopping = true;
  for (const auto& [key, member] : members) {
    const relay_tree tree = TreeOf(members, key);
    for (const std::string& source : tree.sources()) {
      cr_assert(source != reader);
    }
  }
}

Test(relay_tree, a_gateway_that_knows_no_other_reads_itself) {
  cr_assert(TreeOf({}, "self").IsReader());
  cr_assert(relay_tree().IsReader());
  // Not registered yet: it can follow the readers.
  const relay_tree joining = TreeOf(Fleet(9), "self");
  cr_assert(!joining.IsReader());
  cr_assert(joining.sources().size() == relay_tree::kReaders);
}
