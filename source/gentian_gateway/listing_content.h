#ifndef GENTIAN_GATEWAY_LISTING_CONTENT_H_
#define GENTIAN_GATEWAY_LISTING_CONTENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gentian_decisions/kv_operation.h"

namespace gentian {

/** Bytes of the keys and values of entries. */
std::size_t SizeOf(const std::vector<kv_entry>& entries);

/** Changes of a listing since a cursor. */
struct listing_changes {
  /** Number of the latest change; the cursor for the next changes. */
  std::uint64_t cursor = 0;
  /** The entries are the whole listing. */
  bool complete = false;
  std::vector<kv_entry> entries;
  std::vector<std::string> removed;
};

/** The latest content of a listing of the key-value service, and what changed
    when, so that other daemons can be told only the changes. */
class listing_content {
 public:
  /** Applies a complete listing.

      @returns  true if anything changed */
  bool Update(const std::vector<kv_entry>& entries);

  /** Applies what another daemon told.

      @returns  true if anything changed */
  bool Apply(const listing_changes& changes);

  /** The changes after a cursor. Complete if the cursor is 0 or so old that the
      changes are no longer known. */
  listing_changes ChangesAfter(std::uint64_t cursor) const;

  /** Number of the latest change; 0 before the first one. */
  std::uint64_t cursor() const { return cursor_; }

  /** The same for two contents with the same keys at the same versions; 0 only
      before the first change. */
  std::uint64_t digest() const;

  std::vector<kv_entry> Entries() const;

 private:
  struct item {
    kv_entry entry;
    std::uint64_t changed_at = 0;
  };

  bool Put(const kv_entry& entry);
  bool Remove(const std::string& key);

  std::map<std::string, item> items_;
  /** Keys that were removed, by the number of the change. */
  std::map<std::uint64_t, std::string> removals_;
  /** Removals up to this change are forgotten. */
  std::uint64_t forgotten_ = 0;
  std::uint64_t cursor_ = 0;
  /** Combined hashes of the keys and versions. */
  std::uint64_t combined_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_LISTING_CONTENT_H_
