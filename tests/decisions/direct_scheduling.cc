#include "support/direct_scheduling.h"

#include <algorithm>

namespace gentian {

namespace {

constexpr int kMaxAttempts = 3;
constexpr milliseconds kRetryDelay{100};

bool IsKnownNotRun(target_failure failure) {
  return failure == target_failure::not_sent ||
         failure == target_failure::rejected_not_run;
}

}  // namespace

void direct_scheduling::Admit(const work_item& item, node_context& context) {
  entries_[item.ticket].item = item;
  listener_->CallAdmitted(item.ticket, context);
}

void direct_scheduling::Enqueue(ticket_id ticket, node_context& context) {
  if (entries_.count(ticket) > 0) {
    waiting_.push_back(ticket);
    AssignWaiting(context);
  }
}

void direct_scheduling::AssignWaiting(node_context& context) {
  for (std::size_t i = 0; i < waiting_.size();) {
    const ticket_id ticket = waiting_[i];
    entry& next = entries_[ticket];
    const target_settings* target = LeastLoadedTarget(next.item.pool);
    if (target == nullptr) {
      ++i;
      continue;
    }
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
    next.target = target->id;
    ++running_[target->id];
    const target_settings chosen = *target;
    listener_->CallAssigned(ticket, chosen, context);
    // The listener may have changed the queue, so the scan starts over.
    i = 0;
  }
}

const target_settings* direct_scheduling::LeastLoadedTarget(
    const pool_id& pool) const {
  const target_settings* best = nullptr;
  std::uint32_t best_load = 0;
  for (const auto& [id, target] : cluster_.settings().targets) {
    const auto found = running_.find(id);
    const std::uint32_t load = found == running_.end() ? 0 : found->second;
    if (target.pool != pool || target.leaving || load >= target.slots) {
      continue;
    }
    if (best == nullptr || load < best_load) {
      best = &target;
      best_load = load;
    }
  }
  return best;
}

void direct_scheduling::ReleaseSlot(entry& released) {
  if (!released.target.empty()) {
    --running_[released.target];
    released.target = target_id();
  }
}

void direct_scheduling::Withdraw(ticket_id ticket, node_context& context) {
  const auto found = entries_.find(ticket);
  if (found == entries_.end()) {
    return;
  }
  ReleaseSlot(found->second);
  entries_.erase(found);
  waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), ticket),
                 waiting_.end());
  AssignWaiting(context);
}

void direct_scheduling::Finish(ticket_id ticket,
                               const call_usage& /*usage*/,
                               node_context& context) {
  Withdraw(ticket, context);
}

std::optional<milliseconds> direct_scheduling::Fail(ticket_id ticket,
                                                    target_failure failure,
                                                    bool repeatable,
                                                    node_context& context) {
  const auto found = entries_.find(ticket);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  ReleaseSlot(found->second);
  const bool allowed = repeatable || IsKnownNotRun(failure);
  const bool retry = allowed && ++found->second.failures < kMaxAttempts;
  if (!retry) {
    entries_.erase(found);
  }
  AssignWaiting(context);
  return retry ? std::optional<milliseconds>(kRetryDelay) : std::nullopt;
}

void direct_scheduling::SessionEnded(const session_id& /*session*/,
                                     node_context& /*context*/) {}

}  // namespace gentian
