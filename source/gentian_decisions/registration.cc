#include "gentian_decisions/registration.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "gentian_decisions/member_table.h"

namespace gentian {

namespace {

using status = kv_answer::status;

constexpr milliseconds kTimeToLive{15'000};
constexpr milliseconds kRenewEvery{5'000};
constexpr auto kPriority = kv_access::priority::lease;

std::uint64_t VersionOf(const kv_answer& answer) {
  return answer.entries.empty() ? 0 : answer.entries.front().version;
}

}  // namespace

registration::registration(kv_access& kv, node_identity identity)
    : kv_(kv), identity_(std::move(identity)), self_{identity_.host, 0} {}

bool registration::Tick(node_context& context) {
  if (step_ == step::idle && context.now >= not_before_) {
    ReadEpoch(context);
  } else if (step_ == step::registered && !renewing_ &&
             context.now >= renew_at_) {
    Renew(context);
  }
  return std::exchange(changed_, false);
}

std::string registration::EpochKey() const {
  return "/epoch/" + identity_.host.text();
}

std::string registration::EntryKey() const {
  return "/daemon/" + identity_.host.text();
}

void registration::ReadEpoch(node_context& context) {
  step_ = step::calling;
  kv_.Call(
      kv_get{EpochKey()}, kPriority,
      [this](const kv_answer& answer, node_context& later) {
        WriteEpoch(answer, later);
      },
      context);
}

void registration::WriteEpoch(const kv_answer& current, node_context& context) {
  if (current.outcome != status::ok) {
    StartOver(context);
    return;
  }
  std::uint64_t last = 0;
  if (!current.entries.empty()) {
    const std::string& value = current.entries.front().value;
    last = std::strtoull(value.c_str(), nullptr, 10);
  }
  if (self_.epoch != 0 && last == self_.epoch) {
    // Only the lease has expired: no other process has registered for this
    // host. A new epoch would make all copies of sessions that this process
    // holds for others worthless, on every daemon after a long outage.
    next_epoch_ = self_.epoch;
    GrantLease(context);
    return;
  }
  next_epoch_ = std::max(last, self_.epoch) + 1;
  kv_.Call(
      kv_compare_and_swap{EpochKey(), VersionOf(current),
                          std::to_string(next_epoch_), 0},
      kPriority,
      [this](const kv_answer& answer, node_context& later) {
        // Without an answer the epoch may be taken; the next attempt reads it
        // and takes the one after it.
        if (answer.outcome == status::ok) {
          GrantLease(later);
        } else {
          StartOver(later);
        }
      },
      context);
}

void registration::GrantLease(node_context& context) {
  kv_.Call(
      kv_grant_lease{kTimeToLive}, kPriority,
      [this](const kv_answer& answer, node_context& later) {
        if (answer.outcome == status::ok) {
          lease_ = answer.lease;
          ReadEntry(later);
        } else {
          StartOver(later);
        }
      },
      context);
}

void registration::ReadEntry(node_context& context) {
  kv_.Call(
      kv_get{EntryKey()}, kPriority,
      [this](const kv_answer& answer, node_context& later) {
        WriteEntry(answer, later);
      },
      context);
}

void registration::WriteEntry(const kv_answer& current, node_context& context) {
  if (current.outcome != status::ok) {
    StartOver(context);
    return;
  }
  const daemon_record record{incarnation{identity_.host, next_epoch_},
                             identity_.failure_domain, identity_.peer_address,
                             identity_.caller_address,
                             identity_.has_data_folder};
  kv_.Call(
      kv_compare_and_swap{EntryKey(), VersionOf(current), json(record).dump(),
                          lease_},
      kPriority,
      [this](const kv_answer& answer, node_context& later) {
        if (answer.outcome != status::ok) {
          StartOver(later);
          return;
        }
        entry_version_ = VersionOf(answer);
        changed_ = changed_ || self_.epoch != next_epoch_;
        self_.epoch = next_epoch_;
        step_ = step::registered;
        delay_.Reset();
        renew_at_ = later.now + kRenewEvery;
        later.counters.Add("cluster.registered");
      },
      context);
}

void registration::Renew(node_context& context) {
  renewing_ = true;
  renew_at_ = context.now + kRenewEvery;
  kv_.Call(
      kv_renew_lease{lease_}, kPriority,
      [this](const kv_answer& answer, node_context& later) {
        renewing_ = false;
        if (answer.outcome == status::lease_expired &&
            step_ == step::registered) {
          later.counters.Add("cluster.lease_expired");
          StartOver(later);
        }
      },
      context);
}

void registration::StartOver(node_context& context) {
  if (step_ == step::withdrawn) {
    return;
  }
  step_ = step::idle;
  not_before_ = context.now + delay_.NextDelay(context.random);
}

void registration::Withdraw(node_context& context) {
  const bool registered = step_ == step::registered;
  step_ = step::withdrawn;
  if (!registered) {
    return;
  }
  kv_.Call(
      kv_delete{EntryKey(), entry_version_}, kPriority,
      [](const kv_answer& /*answer*/, node_context& /*later*/) {}, context);
}

}  // namespace gentian
