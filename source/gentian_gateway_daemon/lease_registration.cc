#include "gentian_gateway_daemon/lease_registration.h"

#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

// Bounds a call whose connection has gone silent.
constexpr milliseconds kCallTimeout{800};
constexpr milliseconds kRetryDelay{400};
// About as long as a daemon serves without a confirmed configuration. After
// that, the directory must no longer list it.
constexpr milliseconds kLeaseTtl{4'500};
// Leaves time for two more tries after a lost call.
constexpr milliseconds kRenewInterval{1'500};

}  // namespace

lease_registration::lease_registration(io_pool& pool,
                                       key_value_store& store,
                                       std::string key,
                                       std::function<std::string()> record,
                                       counter_set& counters,
                                       observer on_call)
    : pool_(pool),
      store_(store),
      key_(std::move(key)),
      record_(std::move(record)),
      counters_(counters),
      on_call_(std::move(on_call)) {}

void lease_registration::Start() {
  GrantLease();
}

void lease_registration::GrantLease() {
  if (ended_) {
    return;
  }
  const steady_time asked_at = BootTimeNow();
  store_.Call(kv_grant_lease{kLeaseTtl}, kCallTimeout,
              [this, asked_at](const kv_answer& answer) {
                if (answer.outcome != kv_answer::status::ok) {
                  on_call_(false, asked_at);
                  RetryRegistration();
                  return;
                }
                lease_ = answer.lease;
                Write([this] {
                  Log(log_level::info, "registered",
                      {{"lease", lease_}, {"key", key_}});
                  pool_.After(kRenewInterval, [this] { RenewLease(); });
                });
              });
}

void lease_registration::RetryRegistration() {
  lease_ = 0;
  counters_.Add("registration_failed");
  pool_.After(kRetryDelay, [this] { GrantLease(); });
}

void lease_registration::Write(std::function<void()> on_written) {
  const steady_time asked_at = BootTimeNow();
  store_.Call(
      kv_compare_and_swap{key_, version_, record_(), lease_}, kCallTimeout,
      [this, asked_at,
       on_written = std::move(on_written)](const kv_answer& answer) {
        switch (answer.outcome) {
          case kv_answer::status::ok:
            version_ = answer.revision;
            registered_before_ = true;
            on_call_(true, asked_at);
            on_written();
            return;
          case kv_answer::status::conflict:
            // The record is from an earlier start, or no longer exists.
            resumed_ |= !registered_before_ && !answer.entries.empty();
            version_ =
                answer.entries.empty() ? 0 : answer.entries.front().version;
            Write(on_written);
            return;
          default:
            on_call_(false, asked_at);
            RetryRegistration();
            return;
        }
      });
}

void lease_registration::RenewLease() {
  if (lease_ == 0) {
    return;
  }
  const steady_time asked_at = BootTimeNow();
  store_.Call(kv_renew_lease{lease_}, kCallTimeout,
              [this, asked_at](const kv_answer& answer) {
                if (answer.outcome == kv_answer::status::lease_expired) {
                  Log(log_level::warning, "lease expired", {{"lease", lease_}});
                  GrantLease();
                  return;
                }
                const bool renewed = answer.outcome == kv_answer::status::ok;
                on_call_(renewed, asked_at);
                pool_.After(renewed ? kRenewInterval : kRetryDelay,
                            [this] { RenewLease(); });
              });
}

void lease_registration::Update() {
  // Without a lease, the next registration writes the new content.
  if (lease_ != 0) {
    Write([] {});
  }
}

void lease_registration::End() {
  ended_ = true;
  if (lease_ == 0) {
    return;
  }
  lease_ = 0;
  store_.Call(kv_delete{key_, version_}, kCallTimeout, [](const kv_answer&) {
    // If the call fails, the record expires with its lease.
  });
}

}  // namespace gentian
