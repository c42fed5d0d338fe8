#ifndef GENTIAN_ADAPTERS_KEY_VALUE_FAKE_H_
#define GENTIAN_ADAPTERS_KEY_VALUE_FAKE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gentian_adapters/key_value_store.h"

namespace gentian {

/** One stored key of a key_value_fake. */
struct stored_value {
  std::string value;
  std::uint64_t create_revision = 0;
  std::uint64_t mod_revision = 0;
  std::uint64_t version = 0;
  std::uint64_t lease = 0;
};

/** One change of a key_value_fake. */
struct stored_change {
  std::uint64_t revision = 0;
  std::string key;
  bool deleted = false;
  stored_value value;
};

/** A write that depends on its key's mod_revision. */
struct conditional_put {
  std::string key;
  std::string value;
  std::uint64_t lease = 0;
  /** 0 if the key must be absent; nothing for any. */
  std::optional<std::uint64_t> expected;
};

/** The key-value service in memory: revisions, compare-and-swap, leases and
    watches. Time is passed in. Thread-safe; the watch listener runs within
    the call that changes a key.
*/
class key_value_fake {
 public:
  /** Told of each change, in order, while the fake is locked. */
  using change_listener = std::function<void(const stored_change&)>;

  /** Sets who is told of changes. */
  void SetListener(change_listener listener);

  /** Keys in [first, end); an empty end means the key `first` only. */
  std::vector<std::pair<std::string, stored_value>> Range(
      const std::string& first,
      const std::string& end) const;

  /** Stores a value if the key's mod_revision is the expected one.

      @param expected  0 if the key must be absent; nothing for any
      @returns         the new revision, or nothing if the comparison failed
                       or the lease does not exist
  */
  std::optional<std::uint64_t> Put(const std::string& key,
                                   const std::string& value,
                                   std::uint64_t lease,
                                   std::optional<std::uint64_t> expected);

  /** Stores several values under one revision if all conditions hold, as Put
      does one. */
  std::optional<std::uint64_t> PutAll(const std::vector<conditional_put>& puts);

  /** Deletes a key under the same rule. */
  std::optional<std::uint64_t> Delete(const std::string& key,
                                      std::optional<std::uint64_t> expected);

  /** Grants a lease. */
  std::uint64_t Grant(milliseconds time_to_live, steady_time now);

  /** Renews a lease; returns its time to live, 0 if it does not exist. */
  milliseconds Renew(std::uint64_t lease, steady_time now);

  /** Ends a lease and deletes its keys. */
  void Revoke(std::uint64_t lease);

  /** Ends leases whose time has passed. */
  void Expire(steady_time now);

  bool HasLease(std::uint64_t lease) const;

  /** Changes from a revision on, or nothing if they are no longer kept. */
  std::optional<std::vector<stored_change>> ChangesSince(
      std::uint64_t revision) const;

  std::uint64_t revision() const;

 private:
  struct lease_state {
    milliseconds time_to_live{0};
    steady_time ends;
  };

  bool Matches(const std::string& key,
               std::optional<std::uint64_t> expected) const;
  void Store(const conditional_put& put);
  void Record(stored_change change);
  std::uint64_t Remove(const std::string& key);
  void EndLease(std::uint64_t lease);

  mutable std::recursive_mutex mutex_;
  change_listener listener_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  std::map<std::string, stored_value> values_;
  std::map<std::uint64_t, lease_state> leases_;
  std::deque<stored_change> changes_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_KEY_VALUE_FAKE_H_
