#include "gentian_adapters/key_value_fake.h"

#include <utility>

namespace gentian {

namespace {

// Older changes are compacted away.
constexpr std::size_t kKeptChanges = 10'000;

using locked = std::lock_guard<std::recursive_mutex>;

}  // namespace

void key_value_fake::SetListener(change_listener listener) {
  const locked lock(mutex_);
  listener_ = std::move(listener);
}

std::vector<std::pair<std::string, stored_value>> key_value_fake::Range(
    const std::string& first,
    const std::string& end) const {
  const locked lock(mutex_);
  std::vector<std::pair<std::string, stored_value>> found;
  auto next = values_.lower_bound(first);
  while (next != values_.end() &&
         (end.empty() ? next->first == first : next->first < end)) {
    found.emplace_back(*next);
    ++next;
  }
  return found;
}

std::optional<std::uint64_t> key_value_fake::Put(
    const std::string& key,
    const std::string& value,
    std::uint64_t lease,
    std::optional<std::uint64_t> expected) {
  return PutAll({{key, value, lease, expected}});
}

std::optional<std::uint64_t> key_value_fake::PutAll(
    const std::vector<conditional_put>& puts) {
  const locked lock(mutex_);
  for (const conditional_put& put : puts) {
    if (!Matches(put.key, put.expected) ||
        (put.lease != 0 && !HasLease(put.lease))) {
      return std::nullopt;
    }
  }
  ++revision_;
  for (const conditional_put& put : puts) {
    Store(put);
  }
  return revision_;
}

std::optional<std::uint64_t> key_value_fake::Delete(
    const std::string& key,
    std::optional<std::uint64_t> expected) {
  const locked lock(mutex_);
  if (!Matches(key, expected)) {
    return std::nullopt;
  }
  return Remove(key);
}

std::uint64_t key_value_fake::Grant(milliseconds time_to_live,
                                    steady_time now) {
  const locked lock(mutex_);
  leases_[++last_lease_] = lease_state{time_to_live, now + time_to_live};
  return last_lease_;
}

milliseconds key_value_fake::Renew(std::uint64_t lease, steady_time now) {
  const locked lock(mutex_);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return milliseconds(0);
  }
  found->second.ends = now + found->second.time_to_live;
  return found->second.time_to_live;
}

void key_value_fake::Revoke(std::uint64_t lease) {
  const locked lock(mutex_);
  EndLease(lease);
}

void key_value_fake::Expire(steady_time now) {
  const locked lock(mutex_);
  std::vector<std::uint64_t> ended;
  for (const auto& [lease, state] : leases_) {
    if (state.ends <= now) {
      ended.push_back(lease);
    }
  }
  for (const std::uint64_t lease : ended) {
    EndLease(lease);
  }
}

bool key_value_fake::HasLease(std::uint64_t lease) const {
  const locked lock(mutex_);
  return leases_.count(lease) > 0;
}

std::optional<std::vector<stored_change>> key_value_fake::ChangesSince(
    std::uint64_t revision) const {
  const locked lock(mutex_);
  const std::uint64_t oldest =
      changes_.empty() ? revision_ + 1 : changes_.front().revision;
  const bool all_kept = changes_.size() < kKeptChanges;
  if (revision < oldest && !all_kept) {
    return std::nullopt;
  }
  std::vector<stored_change> found;
  for (const stored_change& change : changes_) {
    if (change.revision >= revision) {
      found.push_back(change);
    }
  }
  return found;
}

std::uint64_t key_value_fake::revision() const {
  const locked lock(mutex_);
  return revision_;
}

bool key_value_fake::Matches(const std::string& key,
                             std::optional<std::uint64_t> expected) const {
  if (!expected) {
    return true;
  }
  const auto found = values_.find(key);
  return *expected == (found == values_.end() ? 0 : found->second.mod_revision);
}

void key_value_fake::Store(const conditional_put& put) {
  stored_value& stored = values_[put.key];
  stored.value = put.value;
  stored.lease = put.lease;
  stored.mod_revision = revision_;
  stored.version += 1;
  if (stored.create_revision == 0) {
    stored.create_revision = revision_;
  }
  Record(stored_change{revision_, put.key, false, stored});
}

void key_value_fake::Record(stored_change change) {
  changes_.push_back(std::move(change));
  if (changes_.size() > kKeptChanges) {
    changes_.pop_front();
  }
  if (listener_) {
    listener_(changes_.back());
  }
}

std::uint64_t key_value_fake::Remove(const std::string& key) {
  if (values_.erase(key) > 0) {
    ++revision_;
    Record(stored_change{revision_, key, true, stored_value{}});
  }
  return revision_;
}

void key_value_fake::EndLease(std::uint64_t lease) {
  if (leases_.erase(lease) == 0) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, stored] : values_) {
    if (stored.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key);
  }
}

}  // namespace gentian
