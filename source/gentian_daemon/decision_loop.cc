#include "gentian_daemon/decision_loop.h"

#include <exception>
#include <string>
#include <utility>

namespace gentian {

namespace {

// At some microseconds an event this is a wait of tens of milliseconds, well
// below the time after which peers suspect a daemon.
constexpr std::size_t kMaxBacklog = 10'000;
constexpr int kTicksPerObservation = 20;

}  // namespace

decision_loop::decision_loop(node_identity identity,
                             configuration initial,
                             random_source& random,
                             executor execute,
                             observer observe,
                             failure_handler on_failure)
    : node_(std::move(identity), std::move(initial), random),
      execute_(std::move(execute)),
      observe_(std::move(observe)),
      on_failure_(std::move(on_failure)) {}

decision_loop::~decision_loop() {
  Stop();
}

void decision_loop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void decision_loop::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void decision_loop::Post(event input) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(input));
  }
  backlog_.fetch_add(1, std::memory_order_relaxed);
  changed_.notify_one();
}

bool decision_loop::IsOverloaded() const {
  return backlog_.load(std::memory_order_relaxed) > kMaxBacklog;
}

void decision_loop::Run() {
  try {
    RunUntilStopped();
  } catch (const std::exception& failure) {
    // The node's state may be inconsistent, so it is not used any further.
    on_failure_(
        error{error_kind::internal,
              std::string("the decision loop failed: ") + failure.what(),
              "start the daemon again and report the log"});
  }
}

void decision_loop::Tick() {
  Step(tick{});
  if (ticks_++ % kTicksPerObservation == 0) {
    observe_(node_.cluster());
  }
}

void decision_loop::RunUntilStopped() {
  auto next_tick = std::chrono::steady_clock::now();
  std::vector<event> batch;
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait_until(lock, next_tick,
                          [this] { return stopping_ || !queue_.empty(); });
      if (stopping_) {
        return;
      }
      batch.swap(queue_);
    }
    for (const event& input : batch) {
      Step(input);
      backlog_.fetch_sub(1, std::memory_order_relaxed);
    }
    batch.clear();
    const auto now = std::chrono::steady_clock::now();
    if (now >= next_tick) {
      Tick();
      // After a pause of the process there is one tick, not one for each
      // interval that was missed.
      next_tick = now + kTickInterval;
    }
  }
}

void decision_loop::Step(const event& input) {
  for (command& next : node_.Step(input, std::chrono::steady_clock::now())) {
    execute_(std::move(next));
  }
}

}  // namespace gentian
