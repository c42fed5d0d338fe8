#include "gentian_gateway/listing_content.h"

#include <set>
#include <utility>

#include "gentian_core/hash.h"

namespace gentian {

namespace {

// A daemon that is further behind gets the whole listing.
constexpr std::size_t kMaxRemovals = 1'000;
// Stands for the digest 0.
constexpr std::uint64_t kZeroDigest = 1;

std::uint64_t HashOf(const kv_entry& entry) {
  return StableHash(entry.value, StableHash(entry.key, entry.version));
}

}  // namespace

std::size_t SizeOf(const std::vector<kv_entry>& entries) {
  std::size_t bytes = 0;
  for (const kv_entry& entry : entries) {
    bytes += entry.key.size() + entry.value.size();
  }
  return bytes;
}

bool listing_content::Put(const kv_entry& entry) {
  const auto [place, is_new] = items_.try_emplace(entry.key);
  item& stored = place->second;
  if (!is_new && stored.entry.version == entry.version &&
      stored.entry.value == entry.value) {
    return false;
  }
  if (!is_new) {
    combined_ ^= HashOf(stored.entry);
  }
  stored.entry = entry;
  stored.changed_at = ++cursor_;
  combined_ ^= HashOf(entry);
  return true;
}

bool listing_content::Remove(const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return false;
  }
  combined_ ^= HashOf(found->second.entry);
  items_.erase(found);
  removals_[++cursor_] = key;
  if (removals_.size() > kMaxRemovals) {
    forgotten_ = removals_.begin()->first;
    removals_.erase(removals_.begin());
  }
  return true;
}

bool listing_content::Update(const std::vector<kv_entry>& entries) {
  // An empty listing counts as a change from nothing.
  bool changed = cursor_ == 0;
  cursor_ += changed ? 1 : 0;
  std::set<std::string> listed;
  for (const kv_entry& entry : entries) {
    listed.insert(entry.key);
    changed |= Put(entry);
  }
  std::vector<std::string> gone;
  for (const auto& [key, stored] : items_) {
    if (listed.count(key) == 0) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    changed |= Remove(key);
  }
  return changed;
}

bool listing_content::Apply(const listing_changes& changes) {
  if (changes.complete) {
    return Update(changes.entries);
  }
  bool changed = false;
  for (const kv_entry& entry : changes.entries) {
    changed |= Put(entry);
  }
  for (const std::string& key : changes.removed) {
    changed |= Remove(key);
  }
  return changed;
}

listing_changes listing_content::ChangesAfter(std::uint64_t cursor) const {
  listing_changes changes;
  changes.cursor = cursor_;
  changes.complete = cursor == 0 || cursor < forgotten_ || cursor > cursor_;
  if (changes.complete) {
    changes.entries = Entries();
    return changes;
  }
  for (const auto& [key, stored] : items_) {
    if (stored.changed_at > cursor) {
      changes.entries.push_back(stored.entry);
    }
  }
  for (auto next = removals_.upper_bound(cursor); next != removals_.end();
       ++next) {
    // A key may have been added again since.
    if (items_.count(next->second) == 0) {
      changes.removed.push_back(next->second);
    }
  }
  return changes;
}

std::uint64_t listing_content::digest() const {
  if (cursor_ == 0) {
    return 0;
  }
  return combined_ == 0 ? kZeroDigest : combined_;
}

std::vector<kv_entry> listing_content::Entries() const {
  std::vector<kv_entry> entries;
  entries.reserve(items_.size());
  for (const auto& [key, stored] : items_) {
    entries.push_back(stored.entry);
  }
  return entries;
}

}  // namespace gentian
