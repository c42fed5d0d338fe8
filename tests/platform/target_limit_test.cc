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
using gentian::testing::gateway_fixture;
using gentian::testing::gateway_fleet;
using gentian::testing::http_outcome;
using gentian::testing::PostRequest;
using gentian::testing::ProcessAddress;
using gentian::testing::WaitFor;

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
        if (exchange->request().Path() == "/turn/x") {
          headers.Add("Content-Type", "text/event-stream");
          exchange->StartChunks(headers);
          exchange->SendChunk("id: 1\ndata: a\n\n");
          exchange->EndStream();
        } else {
          exchange->Respond({200, headers, "whole"});
        }
      });
  const std::vector<std::string> paths = {"/once/x", "/again/x", "/turn/x"};
  const auto began = test_clock::now();
  const auto ends = began + kSettling + kSpan + milliseconds(1'000);
  std::atomic<int> unexpected{0};
  std::atomic<int> refused{0};
  std::atomic<int> served{0};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kGateways; ++i) {
    callers.emplace_back([&, i] {
      std::size_t sent = 0;
      while (test_clock::now() < ends) {
        http_client_request request =
            fleet.Request(i, paths[sent++ % paths.size()]);
        request.headers.Add("Program-Id", "p" + std::to_string(sent % 7));
        request.headers.Add("Token-Budget", "100000");
        request.headers.Add("Token-Count", "5,30");
        const http_outcome outcome =
            Fetch(fleet.first.client, std::move(request));
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

// Guards against a limit that outlives the target's need, at the gateways that
// did not see the answer that lifts it.
Test(target_limit, ends_when_the_target_no_longer_names_it, .timeout = 60) {
  std::atomic<bool> limited{true};
  constexpr std::size_t kGateways = 3;
  gateway_fleet fleet(
      kGateways, [&](const std::shared_ptr<http_exchange>& exchange, int) {
        http_headers headers = fake_target::SealedHeaders(*exchange);
        if (limited) {
          headers.Add("Server-Limit", "2");
        }
        exchange->Respond({200, headers, "whole"});
      });
  const auto send = [&fleet](std::size_t gateway) {
    return Fetch(fleet.first.client, fleet.Request(gateway, "/once/x"))
        .response;
  };
  const auto status = [&send](std::size_t gateway) {
    return send(gateway).status;
  };
  // A gateway paces a target only when the others know the same members.
  constexpr milliseconds kHandover{1'600};
  std::this_thread::sleep_for(kHandover);
  for (std::size_t i = 0; i < kGateways; ++i) {
    const http_response first = send(i);
    cr_assert(first.status == 200, "%zu: %d %s", i, first.status,
              first.body.c_str());
    cr_assert(fleet.Metrics(i).find("limited_targets 1") != std::string::npos);
  }
  limited = false;
  const auto began = test_clock::now();
  constexpr int kRequests = 20;
  for (std::size_t i = 0; i < kGateways; ++i) {
    for (int sent = 0; sent < kRequests; ++sent) {
      cr_assert(status(i) == 200, "%zu", i);
    }
  }
  // Sixty requests, far more than two a second.
  cr_assert(test_clock::now() - began < milliseconds(5'000));
  fleet.StopPools();
}

// Guards against a gateway that paces a target by itself because the gateway
// that does so can't be reached: both would send as much as the target takes.
Test(target_limit, without_its_pacer_a_target_gets_nothing, .timeout = 60) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        http_headers headers = fake_target::SealedHeaders(*exchange);
        headers.Add("Server-Limit", "1000");
        exchange->Respond({200, headers, "whole"});
      });
  // With a thousand other daemons, this one is unlikely to pace the target.
  // They hold no allowance that the team "t2" would need.
  const std::string nobody = ProcessAddress(1);
  for (int i = 0; i < 1'000; ++i) {
    const std::string host = "other-" + std::to_string(i);
    subject.store.Put(MemberKey(host),
                      EncodeMember({host, "z", "", nobody, false}));
  }
  http_client_request request = subject.Request("/once/x");
  request.headers = http_headers();
  request.headers.Add("Host", "h");
  request.headers.Add("Request-Id", "r");
  request.headers.Add("X-Api-Key", "k2");
  const auto status = [&] {
    return Fetch(subject.client, request).response.status;
  };
  cr_assert(WaitFor([&] { return status() == 503; }));
  const int before = subject.target.runs();
  const auto began = test_clock::now();
  for (int i = 0; i < 5; ++i) {
    const http_response refused = Fetch(subject.client, request).response;
    cr_assert(refused.status == 503);
    cr_assert(!refused.headers.Find("Retry-After").empty());
  }
  cr_assert(test_clock::now() - began < milliseconds(1'500));
  cr_assert(subject.target.runs() == before);
}

// Guards against a damaged message of another gateway that ends the process, or
// an exception in the answer of one.
Test(target_limit, damaged_messages_are_refused, .timeout = 60) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "whole");
      });
  for (const char* body :
       {"", "[]", "{}", "{\"target\":5}", "{\"target\":\"i-1\"}",
        "{\"target\":\"i-1\",\"age_ms\":\"x\",\"rate\":1}",
        "{\"target\":\"i-1\",\"age_ms\":1}",
        "{\"target\":\"i-1\",\"age_ms\":1,\"rate\":\"x\"}"}) {
    const http_outcome outcome =
        Fetch(subject.client,
              PostRequest(subject.peer_address, "/limits/take", body));
    cr_assert(outcome.response.status == 400, "%s", body);
  }
  // Extreme numbers are bounded.
  const http_outcome outcome =
      Fetch(subject.client,
            PostRequest(subject.peer_address, "/limits/take",
                        R"({"target":"i-1","age_ms":9223372036854775807,)"
                        R"("rate":1e300,"max_wait_ms":-9223372036854775807})"));
  cr_assert(outcome.response.status == 200);
  cr_assert(WaitFor([&subject] {
    return Fetch(subject.client, subject.Request("/once/x")).response.status ==
           200;
  }));
}

// Guards against a gateway that learns of a limit only from an answer of its
// own, and until then sends what the target doesn't take.
Test(target_limit,
     is_known_to_gateways_that_the_target_has_not_told,
     .timeout = 60) {
  gateway_fleet fleet(
      3, [](const std::shared_ptr<http_exchange>& exchange, int) {
        http_headers headers = fake_target::SealedHeaders(*exchange);
        headers.Add("Server-Limit", "2");
        exchange->Respond({200, headers, "whole"});
      });
  const auto knows = [&fleet](std::size_t gateway) {
    return fleet.Metrics(gateway).find("limited_targets 1") !=
           std::string::npos;
  };
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    cr_assert(!knows(i));
  }
  cr_assert(
      Fetch(fleet.first.client, fleet.Request(1, "/once/x")).response.status ==
      200);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    cr_assert(WaitFor([&] { return knows(i); }, milliseconds(1'900)), "%zu", i);
  }
  cr_assert(fleet.first.target.runs() == 1);
  fleet.StopPools();
}

// Guards against the record of a limit that stays after the target has lifted
// it, and against a damaged one.
Test(target_limit, its_record_ends_with_it, .timeout = 60) {
  std::atomic<bool> limited{true};
  gateway_fixture subject(
      [&limited](const std::shared_ptr<http_exchange>& exchange, int) {
        http_headers headers = fake_target::SealedHeaders(*exchange);
        if (limited) {
          headers.Add("Server-Limit", "50");
        }
        exchange->Respond({200, headers, "whole"});
      });
  const std::string key = kLimitsPrefix + std::string("i-1");
  subject.store.Put(kLimitsPrefix + std::string("i-2"), "nothing");
  subject.store.Put(kLimitsPrefix + std::string("i-3"), R"({"rate":"x"})");
  const auto send = [&subject] {
    return Fetch(subject.client, subject.Request("/once/x")).response.status;
  };
  cr_assert(send() == 200);
  cr_assert(WaitFor([&] { return !subject.store.Value(key).empty(); }));
  limited = false;
  cr_assert(WaitFor([&] { return send() == 200; }));
  cr_assert(WaitFor([&] { return subject.store.Value(key).empty(); }));
  subject.daemon_pool.Stop();
  subject.pool.Stop();
}
