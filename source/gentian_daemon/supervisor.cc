#include "gentian_daemon/supervisor.h"

#include <algorithm>
#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

duration DelayBefore(std::size_t restart, const restart_policy& policy) {
  if (restart == 0) {
    return duration::zero();
  }
  milliseconds delay = policy.first_delay;
  for (std::size_t i = 1; i < restart && delay < policy.max_delay; ++i) {
    delay *= 2;
  }
  return std::min(delay, policy.max_delay);
}

}  // namespace

supervisor::supervisor(scheduler schedule,
                       std::function<void(const error&)> on_give_up)
    : schedule_(std::move(schedule)), on_give_up_(std::move(on_give_up)) {}

void supervisor::Add(supervised_child child) {
  entries_.push_back(entry{std::move(child), false, {}});
}

result<success> supervisor::Start() {
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  for (entry& next : entries_) {
    result<success> started = next.child.start();
    if (Failed(started)) {
      Stop();
      return started;
    }
    next.running = true;
  }
  return success{};
}

void supervisor::Stop() {
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  stopped_ = true;
  for (auto next = entries_.rbegin(); next != entries_.rend(); ++next) {
    if (next->running) {
      next->running = false;
      next->child.stop();
    }
  }
}

void supervisor::Report(const std::string& name, const error& reason) {
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  entry* const failed = Find(name);
  if (stopped_ || failed == nullptr) {
    return;
  }
  if (failed->running) {
    failed->running = false;
    failed->child.stop();
  }
  const auto now = std::chrono::steady_clock::now();
  const restart_policy& policy = failed->child.policy;
  auto& restarts = failed->restarts;
  restarts.erase(
      std::remove_if(restarts.begin(), restarts.end(),
                     [&](steady_time at) { return now - at > policy.window; }),
      restarts.end());
  if (restarts.size() >= static_cast<std::size_t>(policy.max_restarts)) {
    stopped_ = true;
    on_give_up_(error{error_kind::internal,
                      name + " failed too often: " + reason.message,
                      reason.remedy});
    return;
  }
  Log(log_level::warning, "restarting a failed part",
      {{"part", name}, {"reason", reason.message}});
  const duration delay = DelayBefore(restarts.size(), policy);
  restarts.push_back(now);
  schedule_(delay, [this, name, reason] { Restart(name, reason); });
}

void supervisor::Restart(const std::string& name, const error& /*reason*/) {
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  entry* const failed = Find(name);
  if (stopped_ || failed->running) {
    return;
  }
  const result<success> started = failed->child.start();
  if (Failed(started)) {
    Report(name, ErrorOf(started));
    return;
  }
  failed->running = true;
}

supervisor::entry* supervisor::Find(const std::string& name) {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const entry& next) { return next.child.name == name; });
  return found == entries_.end() ? nullptr : &*found;
}

}  // namespace gentian
