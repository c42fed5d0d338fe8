// Tests requests that end the targets that run them.
#include <criterion/criterion.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform/crashing_targets.h"
#include "platform/gateway_fleet.h"

using namespace gentian;
using gentian::testing::crashing_targets;
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

// A request without an ID.
http_client_request Request(const gateway_fixture& gateway,
                            const std::string& address,
                            const std::string& key) {
  http_client_request request = gateway.Request("/again/x");
  request.address = address;
  request.headers = http_headers();
  request.headers.Add("Host", "h");
  request.headers.Add("X-Api-Key", key);
  request.headers.Add("Deadline-Ms", "2000");
  return request;
}

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
  std::mutex mutex;
  std::string refusals;
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kGateways; ++i) {
    callers.emplace_back([&, i] {
      for (int sent = 0; test_clock::now() < ends; ++sent) {
        const std::string id =
            "g" + std::to_string(i) + "-" + std::to_string(sent);
        http_client_request request =
            Request(fleet.first, fleet.Request(i, "").address, "k");
        request.headers.Add("Request-Id", id);
        const bool deadly = sent % 4 == 0;
        request.body = deadly ? "deadly" : "sound " + id;
        const http_outcome outcome = Fetch(fleet.first.client, request);
        if (outcome.response.status == 503 && targets.HasRun(id)) {
          ++false_promises;
        }
        if (!deadly && test_clock::now() > ends - kLength / 2) {
          ++others;
          others_served += outcome.response.status == 200 ? 1 : 0;
          if (outcome.response.status != 200) {
            const std::lock_guard<std::mutex> lock(mutex);
            refusals += std::to_string(outcome.response.status) + " " +
                        outcome.response.body + " ";
          }
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
  cr_assert(others_served == others && others > 0, "%d of %d: %s",
            others_served.load(), others.load(), refusals.c_str());
}

// Guards against a gateway that sends a request on although the answer to its
// own report says that the request is blocked: a program's later turns add to
// the body, and come to a gateway before the block is published.
Test(crashing_request, a_blocked_origin_covers_longer_bodies, .timeout = 90) {
  gateway_fleet fleet(2, Answer);
  crashing_targets targets(fleet.first, 6);
  const auto send = [&](std::size_t gateway, const std::string& body) {
    http_client_request request = fleet.Request(gateway, "/again/x");
    request.body = body;
    return Fetch(fleet.first.client, request).response.status;
  };
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    targets.AwaitUse(Request(fleet.first, fleet.Request(i, "").address, "k"));
  }
  // One attempt of a caller may run at one target after the other.
  const std::vector<std::string> bodies = {"deadly", "deadly one",
                                           "deadly one two"};
  for (const std::string& body : bodies) {
    send(0, body);
    send(1, body);
  }
  const std::size_t before = targets.DeadlyRuns().size();
  cr_assert(before >= 3 && before <= 4, "%zu", before);
  for (const std::string& body : bodies) {
    cr_assert(send(0, body) == 503);
    cr_assert(send(1, body) == 503);
  }
  cr_assert(send(1, "deadly one two three") == 503);
  cr_assert(targets.DeadlyRuns().size() == before);
  fleet.StopPools();
  targets.Stop();
}

// Guards against a request that is sent on because the gateway that counts its
// crashes can't be reached.
Test(crashing_request,
     is_blocked_without_the_gateway_that_counts,
     .timeout = 90) {
  gateway_fixture subject(Answer);
  crashing_targets targets(subject, 6);
  // With a thousand other daemons, this one is unlikely to count.
  const std::string nobody = ProcessAddress(1);
  for (int i = 0; i < 1'000; ++i) {
    const std::string host = "other-" + std::to_string(i);
    subject.store.Put(MemberKey(host),
                      EncodeMember({host, "z", "", nobody, false}));
  }
  const auto send = [&](const std::string& body) {
    http_client_request request =
        Request(subject, subject.caller_address, "k2");
    request.headers.Add("Request-Id", "r");
    request.body = body;
    return Fetch(subject.client, request).response.status;
  };
  targets.AwaitUse(Request(subject, subject.caller_address, "k2"));
  for (int i = 0; i < 6; ++i) {
    send("deadly");
  }
  cr_assert(targets.DeadlyRuns().size() == 3, "%zu",
            targets.DeadlyRuns().size());
  cr_assert(send("deadly") == 503);
  targets.Stop();
}

// Guards against a damaged message of another gateway that ends the process.
Test(crashing_request, damaged_messages_are_refused, .timeout = 60) {
  gateway_fixture subject(Answer);
  const std::string damaged_time =
      R"({"reports":[{"fingerprint":"f","crashes":[{"content":"c",)"
      R"("target":"t","start":1,"sent_ms_ago":"x","ended_ms_ago":1,)"
      R"("partly_answered":false,"service_targets":1}]}]})";
  const std::vector<std::string> bodies = {
      "",
      "[]",
      "{}",
      R"({"reports":5})",
      R"({"reports":[5]})",
      R"({"reports":[{"fingerprint":5,"crashes":[]}]})",
      R"({"reports":[{"fingerprint":"f","crashes":[{}]}]})",
      damaged_time};
  for (const std::string& body : bodies) {
    const http_outcome outcome =
        Fetch(subject.client,
              PostRequest(subject.peer_address, "/crashes/report", body));
    cr_assert(outcome.response.status == 400, "%s", body.c_str());
  }
  // Blocks that other gateways publish may be damaged too.
  subject.store.Put(kBlockedPrefix + std::string("a"), "nothing");
  subject.store.Put(kBlockedPrefix + std::string("b"),
                    R"({"until_unix_ms":"x"})");
  subject.store.Put(kBlockedPrefix + std::string("c"),
                    R"({"until_unix_ms":9223372036854775807})");
  std::this_thread::sleep_for(milliseconds(1'500));
  const http_response answer =
      Fetch(subject.client, subject.Request("/once/x")).response;
  cr_assert(answer.status == 200, "%d %s", answer.status, answer.body.c_str());
}

// Guards against a caller that waits for other gateways although its request is
// not sent again: the one that counts is silent.
Test(crashing_request,
     a_request_that_has_failed_is_answered_at_once,
     .timeout = 60) {
  gateway_fixture subject([](const std::shared_ptr<http_exchange>& exchange,
                             int) { exchange->Abort(); });
  std::atomic<int> asked{0};
  http_server silent(
      subject.pool,
      [&asked](const std::shared_ptr<http_exchange>&) { ++asked; });
  cr_assert(!Failed(silent.Listen("127.0.0.1:0")));
  for (int i = 0; i < 1'000; ++i) {
    const std::string host = "other-" + std::to_string(i);
    subject.store.Put(MemberKey(host),
                      EncodeMember({host, "z", "", silent.address(), false}));
  }
  http_client_request request = Request(subject, subject.caller_address, "k2");
  request.target = "/once/x";
  request.headers.Add("Request-Id", "r");
  cr_assert(WaitFor([&] {
    return Fetch(subject.client, request).response.status == 502 && asked > 0;
  }));
  std::this_thread::sleep_for(milliseconds(2'100));
  const auto began = test_clock::now();
  cr_assert(Fetch(subject.client, request).response.status == 502);
  cr_assert(test_clock::now() - began < milliseconds(150));
  subject.daemon_pool.Stop();
  subject.pool.Stop();
}
