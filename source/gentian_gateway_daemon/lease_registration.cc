#include "gentian_gateway_daemon/lease_registration.h"

#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

// Bounds a call whose connection has gone silent.
constexpr milliseconds kCallTimeout{800};
constexpr milliseconds kRetryDelay{400};
// Leaves time for two more tries after a lost call.
constexpr milliseconds kRenewInterval{1'500};

}  // namespace

lease_registration::lease_registration(io_pool& pool,
                                       key_value_store& store,
                                       std::string key,
                                       std::function<std::string()> record,
                                       counter_set& counters,
                                       observer on_call)
    : store_(store),
      key_(std::move(key)),
      record_(std::move(record)),
      counters_(counters),
      on_call_(std::move(on_call)),
      keeping_(pool,
               kRetryDelay,
               [this](const round& current) { Keep(current); }),
      updating_(pool, kRetryDelay, [this](const round& current) {
        WriteUpdate(current);
      }) {}

void lease_registration::Start() {
  keeping_.Start();
}

void lease_registration::Keep(const round& current) {
  if (ended_) {
    current.End();
  } else if (lease_ == 0) {
    GrantLease(current);
  } else {
    RenewLease(current);
  }
}

void lease_registration::GrantLease(const round& current) {
  const steady_time asked_at = BootTimeNow();
  store_.Call(kv_grant_lease{kLeaseTtl}, kCallTimeout,
              [this, current, asked_at](const kv_answer& answer) {
                if (ended_) {
                  return;
                }
                if (answer.outcome != kv_answer::status::ok) {
                  on_call_(false, asked_at);
                  counters_.Add("registration_failed");
                  return;
                }
                lease_ = answer.lease;
                Write([this, current](bool is_written) {
                  if (!is_written) {
                    lease_ = 0;
                    return;
                  }
                  Log(log_level::info, "registered",
                      {{"lease", lease_}, {"key", key_}});
                  current.RunAgainAfter(kRenewInterval);
                });
              });
}

void lease_registration::Write(std::function<void(bool is_written)> on_done) {
  if (ended_) {
    return;
  }
  const steady_time asked_at = BootTimeNow();
  store_.Call(
      kv_compare_and_swap{key_, version_, record_(), lease_}, kCallTimeout,
      [this, asked_at, on_done = std::move(on_done)](const kv_answer& answer) {
        switch (answer.outcome) {
          case kv_answer::status::ok:
            version_ = answer.revision;
            if (ended_) {
              Remove();
              return;
            }
            registered_before_ = true;
            on_call_(true, asked_at);
            on_done(true);
            return;
          case kv_answer::status::conflict:
            // The record is from an earlier start, or no longer exists.
            resumed_ |= !registered_before_ && !answer.entries.empty();
            version_ =
                answer.entries.empty() ? 0 : answer.entries.front().version;
            Write(on_done);
            return;
          default:
            on_call_(false, asked_at);
            counters_.Add("registration_failed");
            on_done(false);
            return;
        }
      });
}

void lease_registration::RenewLease(const round& current) {
  const steady_time asked_at = BootTimeNow();
  store_.Call(kv_renew_lease{lease_}, kCallTimeout,
              [this, current, asked_at](const kv_answer& answer) {
                if (answer.outcome == kv_answer::status::lease_expired) {
                  Log(log_level::warning, "lease expired", {{"lease", lease_}});
                  lease_ = 0;
                  current.RunAgainAfter(duration(0));
                  return;
                }
                const bool renewed = answer.outcome == kv_answer::status::ok;
                on_call_(renewed, asked_at);
                current.RunAgainAfter(renewed ? kRenewInterval : kRetryDelay);
              });
}

void lease_registration::Update() {
  has_update_ = true;
  if (!std::exchange(is_updating_, true)) {
    updating_.StartAfter(duration(0));
  }
}

void lease_registration::WriteUpdate(const round& current) {
  // Without a lease, the next registration writes the new content.
  if (lease_ == 0 || !has_update_) {
    is_updating_ = false;
    current.End();
    return;
  }
  has_update_ = false;
  Write([this, current](bool is_written) {
    has_update_ |= !is_written;
    current.RunAgainAfter(is_written ? duration(0) : duration(kRetryDelay));
  });
}

void lease_registration::End() {
  ended_ = true;
  if (lease_ == 0) {
    return;
  }
  lease_ = 0;
  Remove();
}

// Never removes the record of another process, whose version is another one.
void lease_registration::Remove() {
  store_.Call(kv_delete{key_, version_}, kCallTimeout, [](const kv_answer&) {
    // If the call fails, the record expires with its lease.
  });
}

}  // namespace gentian
