// Tests targets that name a limit on the requests that they take.
#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "platform/gateway_fleet.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fleet;
using gentian::testing::http_outcome;

namespace {

using test_clock = std::chrono::steady_clock;

// The most requests of any span of this length.
std::size_t MostWithin(std::vector<test_clock::time_point> arrivals,
                       milliseconds span) {
  std::sort(arrivals.begin(), arrivals.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] > span) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace

// Guards against gateways that together send a target more requests than the
// limit that it names: each knew only its own requests, or none read the limit.
Test(target_limit, gateways_together_keep_to_it, .timeout = 60) {
  constexpr double kLimit = 2.5;
  constexpr milliseconds kSpan{4'000};
  constexpr milliseconds kSettling{3'000};
  // The users accept one and a half times the limit and five requests.
  constexpr double kMost = 1.5 * kLimit * 4 + 5;
  constexpr std::size_t kGateways = 3;
  std::mutex mutex;
  std::vector<test_clock::time_point> arrivals;
  gateway_fleet fleet(
      kGateways, [&](const std::shared_ptr<http_exchange>& exchange, int) {
        {
          const std::lock_guard<std::mutex> lock(mutex);
          arrivals.push_back(test_clock::now());
        }
        http_headers headers = fake_target::SealedHeaders(*exchange);
        headers.Add("Server-Limit", std::to_string(kLimit));
        exchange->Respond({200, headers, "whole"});
      });
  const auto began = test_clock::now();
  const auto ends = began + kSettling + kSpan + milliseconds(1'000);
  std::atomic<int> unexpected{0};
  std::atomic<int> refused{0};
  std::atomic<int> served{0};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kGateways; ++i) {
    callers.emplace_back([&, i] {
      while (test_clock::now() < ends) {
        const http_outcome outcome =
            Fetch(fleet.first.client, fleet.Request(i, "/once/x"));
        const int status = outcome.response.status;
        if (status == 200) {
          ++served;
        } else if (status == 503 &&
                   !outcome.response.headers.Find("Retry-After").empty()) {
          ++refused;
        } else {
          ++unexpected;
        }
        std::this_thread::sleep_for(milliseconds(50));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  fleet.StopPools();
  std::vector<test_clock::time_point> settled;
  for (const auto& arrival : arrivals) {
    if (arrival - began > kSettling) {
      settled.push_back(arrival);
    }
  }
  const std::size_t most = MostWithin(settled, kSpan);
  cr_assert(static_cast<double>(most) <= kMost, "%zu", most);
  // The limit is used: a target in need is not left without work.
  cr_assert(static_cast<double>(most) >= kLimit * 4 / 2, "%zu", most);
  cr_assert(refused > 0 && unexpected == 0, "%d, %d", refused.load(),
            unexpected.load());
  cr_assert(static_cast<std::size_t>(served) == arrivals.size());
}
