#ifndef TESTS_PLATFORM_CRASHING_TARGETS_H_
#define TESTS_PLATFORM_CRASHING_TARGETS_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform/gateway_fixture.h"

namespace gentian::testing {

/** Targets for the service "s" that end when they begin to run a request with
    a body that begins with "deadly", and are back under a new id after a while.
   They answer all other requests. */
class crashing_targets {
 public:
  using clock = std::chrono::steady_clock;

  crashing_targets(gateway_fixture& gateway,
                   int count,
                   milliseconds downtime = milliseconds(600))
      : gateway_(gateway), downtime_(downtime) {
    gateway_.store.Remove("servers/i-1");
    for (int i = 0; i < count; ++i) {
      places_.push_back(std::make_unique<place>());
      StartAt(*places_.back());
    }
    supervisor_ = std::thread([this] { Supervise(); });
  }

  ~crashing_targets() { Stop(); }

  /** Ends all targets. */
  void Stop() {
    stopping_ = true;
    if (supervisor_.joinable()) {
      supervisor_.join();
    }
    pool_.Stop();
  }

  /** When each deadly request arrived. */
  std::vector<clock::time_point> DeadlyRuns() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return deadly_runs_;
  }

  /** Waits until a gateway sends requests to these targets only. */
  void AwaitUse(http_client_request request) {
    static int number = 0;
    request.body = "sound";
    cr_assert(WaitFor([&] {
      const std::string id = "use-" + std::to_string(++number);
      http_client_request next = request;
      next.headers.Add("Request-Id", id);
      return Fetch(gateway_.client, next).response.status == 200 && HasRun(id);
    }));
  }

  /** True if a target has begun to run a request with this id. */
  bool HasRun(const std::string& request_id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return run_ids_.count(request_id) > 0;
  }

 private:
  struct place {
    std::unique_ptr<fake_target> target;
    std::string key;
    std::atomic<bool> has_crashed{false};
    clock::time_point back_at;
  };

  void StartAt(place& here) {
    const std::string id = "c-" + std::to_string(++starts_);
    here.has_crashed = false;
    here.target = std::make_unique<fake_target>(
        pool_, [this, &here](const std::shared_ptr<http_exchange>& exchange,
                             int) { Run(here, exchange); });
    here.key = "servers/" + id;
    gateway_.store.Put(
        here.key, R"({"service":"s","address":")" + here.target->address() +
                      R"(","zone":"z","slots":4,"state":"ready","seq":1,)"
                      R"("version":"v1","born":)" +
                      std::to_string(starts_) + "}");
  }

  void Run(place& here, const std::shared_ptr<http_exchange>& exchange) {
    const http_request& request = exchange->request();
    const bool deadly = request.body.rfind("deadly", 0) == 0;
    if (here.has_crashed) {
      // It ends as soon as the supervisor has seen it.
      exchange->Abort();
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      run_ids_.insert(request.headers.Find("Request-Id"));
      if (deadly) {
        deadly_runs_.push_back(clock::now());
      }
    }
    if (deadly) {
      here.has_crashed = true;
      exchange->Abort();
    } else {
      fake_target::RespondSealed(exchange, "whole");
    }
  }

  void Supervise() {
    while (!stopping_) {
      std::this_thread::sleep_for(milliseconds(2));
      const clock::time_point now = clock::now();
      for (const auto& here : places_) {
        if (here->has_crashed && here->target) {
          here->target->Stop();
          // Its handlers may still run.
          ended_.push_back(std::move(here->target));
          here->back_at = now + downtime_;
        } else if (!here->target && now >= here->back_at) {
          gateway_.store.Remove(here->key);
          StartAt(*here);
        }
      }
    }
  }

  gateway_fixture& gateway_;
  const milliseconds downtime_;
  io_pool pool_{1};
  std::mutex mutex_;
  std::vector<clock::time_point> deadly_runs_;
  std::set<std::string> run_ids_;
  int starts_ = 0;
  std::vector<std::unique_ptr<place>> places_;
  std::vector<std::unique_ptr<fake_target>> ended_;
  std::atomic<bool> stopping_{false};
  std::thread supervisor_;
};

}  // namespace gentian::testing

#endif  // TESTS_PLATFORM_CRASHING_TARGETS_H_
