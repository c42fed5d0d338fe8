#include "gentian_gateway_daemon/record_publisher.h"

#include <utility>

namespace gentian {

namespace {

// Bounds a call whose connection has gone silent.
constexpr milliseconds kCallTimeout{800};
constexpr milliseconds kRetryDelay{300};
// Time in which a record that was written appears in the listings.
constexpr milliseconds kListingDelay{5'000};
// Shortest lease that is worth a write.
constexpr milliseconds kMinLifetime{1'000};

}  // namespace

record_publisher::record_publisher(io_pool& pool,
                                   key_value_store& store,
                                   counter_set& counters,
                                   std::function<void()> on_published)
    : pool_(pool),
      store_(store),
      counters_(counters),
      on_published_(std::move(on_published)) {}

void record_publisher::Publish(const std::string& key,
                               const std::string& value,
                               milliseconds lifetime) {
  EvictOld();
  const steady_time now = BootTimeNow();
  const auto [place, is_new] = records_.try_emplace(key);
  record& subject = place->second;
  if (!is_new &&
      (subject.is_writing || now - subject.written_at < kListingDelay)) {
    return;
  }
  subject = {value, now + lifetime, true, steady_time()};
  GrantLease(key);
}

void record_publisher::GrantLease(const std::string& key) {
  const auto found = records_.find(key);
  if (found == records_.end()) {
    return;
  }
  const milliseconds left = ToMilliseconds(found->second.until - BootTimeNow());
  if (left < kMinLifetime) {
    records_.erase(found);
    return;
  }
  store_.Call(kv_grant_lease{left}, kCallTimeout,
              [this, key](const kv_answer& answer) {
                if (answer.outcome == kv_answer::status::ok) {
                  Write(key, answer.lease);
                } else {
                  RetryLater(key);
                }
              });
}

void record_publisher::Write(const std::string& key, std::uint64_t lease) {
  const auto found = records_.find(key);
  if (found == records_.end()) {
    return;
  }
  store_.Call(kv_compare_and_swap{key, 0, found->second.value, lease},
              kCallTimeout, [this, key](const kv_answer& answer) {
                // On a conflict, another gateway has written the record.
                if (answer.outcome == kv_answer::status::ok ||
                    answer.outcome == kv_answer::status::conflict) {
                  OnWritten(key);
                } else {
                  RetryLater(key);
                }
              });
}

void record_publisher::OnWritten(const std::string& key) {
  const auto found = records_.find(key);
  if (found != records_.end()) {
    found->second.is_writing = false;
    found->second.written_at = BootTimeNow();
  }
  on_published_();
}

void record_publisher::RetryLater(const std::string& key) {
  counters_.Add("record_not_written");
  pool_.After(kRetryDelay, [this, key] { GrantLease(key); });
}

void record_publisher::Remove(const std::string& key, std::uint64_t version) {
  records_.erase(key);
  store_.Call(kv_delete{key, version}, kCallTimeout, [](const kv_answer&) {
    // If the call fails, the record expires with its lease.
  });
}

void record_publisher::EvictOld() {
  const steady_time now = BootTimeNow();
  for (auto next = records_.begin(); next != records_.end();) {
    const record& subject = next->second;
    const bool done =
        !subject.is_writing && now - subject.written_at >= kListingDelay;
    next = done ? records_.erase(next) : std::next(next);
  }
}

}  // namespace gentian
