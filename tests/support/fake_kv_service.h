#ifndef TESTS_SUPPORT_FAKE_KV_SERVICE_H_
#define TESTS_SUPPORT_FAKE_KV_SERVICE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gentian_decisions/kv_operation.h"

namespace gentian {

/** The key-value service in memory: revisions, leases, watches, compaction.
    The owner decides when calls arrive and when answers are delivered.
*/
class fake_kv_service {
 public:
  /** Runs a call at a time.

      @returns the answer; nothing for a watch without a change so far
  */
  std::optional<kv_answer> Run(const kv_operation& operation, steady_time now) {
    ExpireLeases(now);
    return std::visit([&](const auto& value) { return Do(value, now); },
                      operation);
  }

  /** Forgets which keys changed up to now: older watches are compacted. */
  void Compact() { compacted_ = revision_; }

  /** Ends a lease at once, as if its holder had been paused. */
  void EndLease(std::uint64_t lease) {
    if (leases_.count(lease) > 0) {
      leases_[lease].ends = steady_time();
    }
  }

  /** Ends all leases whose keys start with a prefix. */
  void EndLeasesOf(const std::string& prefix) {
    for (const auto& [key, stored] : entries_) {
      if (key.compare(0, prefix.size(), prefix) == 0 && stored.lease != 0) {
        EndLease(stored.lease);
      }
    }
  }

  /** Deletes the keys of leases that have ended. */
  void ExpireLeases(steady_time now) {
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (now < it->second.ends) {
        ++it;
        continue;
      }
      const std::uint64_t lease = it->first;
      it = leases_.erase(it);
      DeleteKeysOf(lease);
    }
  }

  /** The stored value of a key, nothing if it is absent. */
  std::optional<std::string> Find(const std::string& key) const {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
      return std::nullopt;
    }
    return found->second.value;
  }

  /** Number of keys with a prefix. */
  std::size_t Count(const std::string& prefix) const {
    return List(prefix).entries.size();
  }

  /** All entries with a prefix. */
  kv_answer List(const std::string& prefix) const {
    kv_answer answer = Ok();
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() &&
         it->first.compare(0, prefix.size(), prefix) == 0;
         ++it) {
      answer.entries.push_back(
          {it->first, it->second.value, it->second.version});
    }
    return answer;
  }

  /** Writes a key outside of any daemon. */
  void Put(const std::string& key, const std::string& value) {
    Store(key, value, 0);
  }

 private:
  using status = kv_answer::status;

  struct stored_entry {
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
  };
  struct lease_state {
    milliseconds time_to_live{0};
    steady_time ends;
  };
  struct change {
    std::string key;
    bool deleted = false;
  };

  kv_answer Ok() const {
    kv_answer answer;
    answer.outcome = status::ok;
    answer.revision = revision_;
    return answer;
  }

  kv_answer Failed(status outcome) const {
    kv_answer answer = Ok();
    answer.outcome = outcome;
    return answer;
  }

  void AddEntry(const std::string& key, kv_answer& answer) const {
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
      answer.entries.push_back(
          {key, found->second.value, found->second.version});
    }
  }

  void Store(const std::string& key,
             const std::string& value,
             std::uint64_t lease) {
    changes_[++revision_] = {key, false};
    entries_[key] = {value, revision_, lease};
  }

  void Remove(const std::string& key) {
    changes_[++revision_] = {key, true};
    entries_.erase(key);
  }

  void DeleteKeysOf(std::uint64_t lease) {
    std::vector<std::string> keys;
    for (const auto& [key, stored] : entries_) {
      if (stored.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
  }

  std::uint64_t VersionOf(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? 0 : found->second.version;
  }

  std::optional<kv_answer> Do(const kv_get& call, steady_time /*now*/) {
    kv_answer answer = Ok();
    AddEntry(call.key, answer);
    return answer;
  }

  std::optional<kv_answer> Do(const kv_list& call, steady_time /*now*/) {
    return List(call.prefix);
  }

  std::optional<kv_answer> Do(const kv_compare_and_swap& call,
                              steady_time /*now*/) {
    if (call.lease != 0 && leases_.count(call.lease) == 0) {
      return Failed(status::lease_expired);
    }
    const bool matches = VersionOf(call.key) == call.expected_version;
    if (matches) {
      Store(call.key, call.value, call.lease);
    }
    kv_answer answer = Failed(matches ? status::ok : status::conflict);
    AddEntry(call.key, answer);
    return answer;
  }

  std::optional<kv_answer> Do(const kv_write_batch& call, steady_time now) {
    const bool matches = std::all_of(
        call.writes.begin(), call.writes.end(),
        [this](const kv_compare_and_swap& write) {
          return VersionOf(write.key) == write.expected_version &&
                 (write.lease == 0 || leases_.count(write.lease) > 0);
        });
    kv_answer answer = Failed(matches ? status::ok : status::conflict);
    for (const kv_compare_and_swap& write : call.writes) {
      if (matches) {
        Do(write, now);
      }
      AddEntry(write.key, answer);
    }
    return answer;
  }

  std::optional<kv_answer> Do(const kv_delete& call, steady_time /*now*/) {
    if (VersionOf(call.key) != call.expected_version) {
      kv_answer answer = Failed(status::conflict);
      AddEntry(call.key, answer);
      return answer;
    }
    Remove(call.key);
    return Ok();
  }

  std::optional<kv_answer> Do(const kv_grant_lease& call, steady_time now) {
    const std::uint64_t lease = next_lease_++;
    leases_[lease] = {call.time_to_live, now + call.time_to_live};
    kv_answer answer = Ok();
    answer.lease = lease;
    return answer;
  }

  std::optional<kv_answer> Do(const kv_renew_lease& call, steady_time now) {
    const auto found = leases_.find(call.lease);
    if (found == leases_.end()) {
      return Failed(status::lease_expired);
    }
    found->second.ends = now + found->second.time_to_live;
    return Ok();
  }

  std::optional<kv_answer> Do(const kv_watch& call, steady_time /*now*/) {
    if (call.after_revision < compacted_) {
      return Failed(status::compacted);
    }
    std::map<std::string, bool> changed;
    for (auto it = changes_.upper_bound(call.after_revision);
         it != changes_.end(); ++it) {
      const std::string& key = it->second.key;
      if (key.compare(0, call.prefix.size(), call.prefix) == 0) {
        changed[key] = it->second.deleted;
      }
    }
    if (changed.empty()) {
      return std::nullopt;
    }
    kv_answer answer = Ok();
    for (const auto& [key, deleted] : changed) {
      if (deleted) {
        answer.deleted.push_back(key);
      } else {
        AddEntry(key, answer);
      }
    }
    return answer;
  }

  std::map<std::string, stored_entry> entries_;
  std::map<std::uint64_t, lease_state> leases_;
  std::map<std::uint64_t, change> changes_;
  std::uint64_t revision_ = 0;
  std::uint64_t compacted_ = 0;
  std::uint64_t next_lease_ = 1;
};

}  // namespace gentian

#endif  // TESTS_SUPPORT_FAKE_KV_SERVICE_H_
