#include "gentian_gateway/listing_content.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

#include "gentian_core/gentian_core.h"

using namespace gentian;

namespace {

using entries = std::vector<kv_entry>;

bool Same(const entries& a, const entries& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](const kv_entry& x, const kv_entry& y) {
                      return x.key == y.key && x.value == y.value &&
                             x.version == y.version;
                    });
}

}  // namespace

Test(listing_content, tells_only_what_has_changed) {
  listing_content subject;
  cr_assert(subject.cursor() == 0);
  cr_assert(subject.Update({{"a", "1", 1}, {"b", "1", 2}}));
  const std::uint64_t before = subject.cursor();
  cr_assert(!subject.Update({{"a", "1", 1}, {"b", "1", 2}}));
  cr_assert(subject.cursor() == before);
  cr_assert(subject.Update({{"a", "2", 3}, {"c", "1", 4}}));
  const listing_changes changes = subject.ChangesAfter(before);
  cr_assert(!changes.complete);
  cr_assert(Same(changes.entries, {{"a", "2", 3}, {"c", "1", 4}}));
  cr_assert(changes.removed == std::vector<std::string>{"b"});
  cr_assert(subject.ChangesAfter(changes.cursor).entries.empty());
}

// Guards against a follower that counts another content as its own.
Test(listing_content, equal_contents_have_equal_digests) {
  listing_content one;
  listing_content other;
  cr_assert(one.digest() == 0);
  one.Update({{"a", "1", 1}, {"b", "1", 2}});
  other.Update({{"b", "1", 2}});
  cr_assert(one.digest() != other.digest());
  other.Update({{"b", "1", 2}, {"a", "1", 1}});
  cr_assert(one.digest() == other.digest() && one.digest() != 0);
  one.Update({{"a", "1", 3}, {"b", "1", 2}});
  cr_assert(one.digest() != other.digest());
  one.Update({});
  cr_assert(one.digest() != 0);
}

// Guards against an empty listing that looks like one that was never read.
Test(listing_content, an_empty_listing_has_been_read) {
  listing_content subject;
  cr_assert(subject.Update({}));
  cr_assert(subject.cursor() > 0);
  cr_assert(!subject.Update({}));
}

Test(listing_content, is_told_whole_to_a_follower_of_another_gateway) {
  listing_content subject;
  subject.Update({{"a", "1", 1}});
  cr_assert(subject.ChangesAfter(0).complete);
  cr_assert(subject.ChangesAfter(subject.cursor() + 1).complete);
}

// Guards against followers that differ from their source after any order of
// changes, also when they miss some or turn to another source.
Test(listing_content, followers_agree_with_their_source) {
  constexpr std::uint64_t kSeeds = 50;
  constexpr int kSteps = 400;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    seeded_random random(seed);
    listing_content source;
    listing_content follower;
    std::uint64_t cursor = 0;
    std::map<std::string, kv_entry> stored;
    for (int step = 1; step <= kSteps; ++step) {
      const std::string key = "key-" + std::to_string(random.Below(8));
      if (random.Below(3) == 0) {
        stored.erase(key);
      } else {
        stored[key] = {key, std::to_string(step),
                       static_cast<std::uint64_t>(step)};
      }
      entries listing;
      for (const auto& [name, entry] : stored) {
        listing.push_back(entry);
      }
      source.Update(listing);
      if (random.Below(4) == 0) {
        const listing_changes changes = source.ChangesAfter(cursor);
        follower.Apply(changes);
        cursor = changes.cursor;
        cr_assert(Same(follower.Entries(), source.Entries()));
      }
      if (random.Below(50) == 0) {
        // It asks another gateway, then this one again.
        cursor = 0;
      }
    }
  }
}

// Guards against removals that are forgotten before a follower has heard of
// them.
Test(listing_content, a_follower_far_behind_gets_the_whole_listing) {
  constexpr int kKeys = 1'500;
  listing_content subject;
  subject.Update({{"stays", "1", 1}});
  const std::uint64_t before = subject.cursor();
  for (int i = 0; i < kKeys; ++i) {
    subject.Update({{"stays", "1", 1}, {"key-" + std::to_string(i), "1", 2}});
  }
  cr_assert(subject.ChangesAfter(before).complete);
  cr_assert(!subject.ChangesAfter(subject.cursor() - 2).complete);
}
