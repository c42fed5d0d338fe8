// Tests requests that end the targets that run them.
#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "platform/crashing_targets.h"
#include "platform/gateway_fleet.h"

using namespace gentian;
using gentian::testing::crashing_targets;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fleet;
using gentian::testing::http_outcome;

namespace {

using test_clock = std::chrono::steady_clock;

void Answer(const std::shared_ptr<http_exchange>& exchange, int) {
  fake_target::RespondSealed(exchange, "whole");
}

}  // namespace

// Guards against one request that ends target after target: it comes again
// under new ids at all gateways, each of which knew only its own attempts.
Test(crashing_request, is_not_sent_on_after_three_targets, .timeout = 90) {
  constexpr std::size_t kGateways = 3;
  constexpr int kTargets = 6;
  constexpr milliseconds kSettling{3'000};
  constexpr milliseconds kLength{8'000};
  // The users accept three retries later than the settling time.
  constexpr int kMostLater = 3;
  gateway_fleet fleet(kGateways, Answer);
  crashing_targets targets(fleet.first, kTargets);
  const auto ends = test_clock::now() + kLength;
  std::atomic<int> false_promises{0};
  std::atomic<int> others{0};
  std::atomic<int> others_served{0};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kGateways; ++i) {
    callers.emplace_back([&, i] {
      for (int sent = 0; test_clock::now() < ends; ++sent) {
        const std::string id =
            "g" + std::to_string(i) + "-" + std::to_string(sent);
        http_client_request request = fleet.Request(i, "/again/x");
        request.headers = http_headers();
        request.headers.Add("Host", "h");
        request.headers.Add("Request-Id", id);
        request.headers.Add("X-Api-Key", "k");
        request.headers.Add("Deadline-Ms", "2000");
        const bool deadly = sent % 4 == 0;
        request.body = deadly ? "deadly" : "sound " + id;
        const http_outcome outcome = Fetch(fleet.first.client, request);
        if (outcome.response.status == 503 && targets.HasRun(id)) {
          ++false_promises;
        }
        if (!deadly && test_clock::now() > ends - kLength / 2) {
          ++others;
          others_served += outcome.response.status == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(milliseconds(40));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const auto runs = targets.DeadlyRuns();
  fleet.StopPools();
  targets.Stop();
  cr_assert(runs.size() >= 3, "%zu", runs.size());
  int later = 0;
  for (const auto& run : runs) {
    later += run > runs[2] + kSettling ? 1 : 0;
  }
  cr_assert(later <= kMostLater, "%d of %zu", later, runs.size());
  cr_assert(false_promises == 0, "%d", false_promises.load());
  // The other requests of these callers go on.
  cr_assert(others_served == others && others > 0, "%d of %d",
            others_served.load(), others.load());
}
