// Tests a complete gateway daemon with the platform's formats, between real
// HTTP callers, a fake target and a fake metadata store.
#include <criterion/criterion.h>
#include <unistd.h>

#include <array>
#include <thread>

#include "gentian_gateway_daemon/gentian_gateway_daemon.h"
#include "gentian_gateway_daemon/turn_request.h"
#include "gentian_log/gentian_log.h"
#include "platform/gateway_fixture.h"
#include "support/raw_connection.h"
#include "support/synchronous_http.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::http_outcome;
using gentian::testing::raw_connection;
using gentian::testing::WaitFor;

// Guards against requests that block because the log isn't read.
Test(gateway_daemon, serves_while_nobody_reads_its_log, .timeout = 60) {
  std::array<int, 2> pipe_ends{};
  cr_assert(::pipe(pipe_ends.data()) == 0);
  cr_assert(::dup2(pipe_ends[1], STDOUT_FILENO) >= 0);
  cr_assert(!Failed(StartLog("info", "host", log_output::standard_output)));
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "");
      });
  // The pipe fills after about 100 requests; the rate limit of a daemon that
  // has just started admits 401.
  constexpr int kRequests = 300;
  for (int i = 0; i < kRequests; ++i) {
    const http_outcome outcome =
        Fetch(subject.client, subject.Request("/again/x"));
    cr_assert(outcome.response.status == 200, "request %d: status %d", i,
              outcome.response.status);
  }
}

// Guards against altered responses and against forwarding a key to a target.
Test(gateway_daemon, passes_requests_and_answers_on) {
  gateway_fixture subject([](const std::shared_ptr<http_exchange>& exchange,
                             int) {
    const http_headers& headers = exchange->request().headers;
    fake_target::RespondSealed(exchange, headers.Find("Tenant") + "," +
                                             headers.Find("X-Api-Key") + "," +
                                             headers.Find("Expect-Instance") +
                                             "," + exchange->request().body);
  });
  http_client_request request = subject.Request("/once/x");
  request.body = "body";
  const http_outcome outcome = Fetch(subject.client, request);
  cr_assert(outcome.response.status == 200);
  cr_assert(outcome.response.body == "t,,i-1,body");
  cr_assert(outcome.response.headers.Find("Response-Seal") == "seal");
}

// Guards against refusals by a gateway whose small share of an allowance is
// used up for a moment, while the team is below its rate.
Test(gateway_daemon, waits_for_its_small_share_of_an_allowance, .timeout = 30) {
  // The other gateways answer nothing, so that the listings may be old.
  constexpr milliseconds kWithdrawalBound{60'000};
  gateway_fixture subject([](const std::shared_ptr<http_exchange>& exchange,
                             int) { fake_target::RespondSealed(exchange, ""); },
                          kWithdrawalBound);
  // The share of one of 50 gateways refills every 50 ms.
  constexpr int kOthers = 49;
  std::map<std::string, std::string> others;
  for (int i = 0; i < kOthers; ++i) {
    const std::string host = "other-" + std::to_string(i);
    others[MemberKey(host)] = EncodeMember({host, "z", "", "", false});
  }
  subject.store.PutAll(others);
  cr_assert(WaitFor([&] { return subject.Gauge("members") == kOthers + 1; }));
  constexpr int kRequests = 40;
  for (int i = 0; i < kRequests; ++i) {
    const http_response answer =
        Fetch(subject.client, subject.Request("/again/x")).response;
    cr_assert(answer.status == 200, "request %d: status %d, %s", i,
              answer.status, answer.body.c_str());
  }
}

// Guards against rejecting requests because another daemon holds the team's
// rate allowance, and against admitting requests that the holder denies or that
// no holder can be asked about.
Test(gateway_daemon, asks_the_holders_of_an_allowance, .timeout = 30) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "");
      });
  std::atomic<int> taken{0};
  std::atomic<bool> grants{true};
  http_server holder(
      subject.pool, [&](const std::shared_ptr<http_exchange>& exchange) {
        ++taken;
        exchange->Respond(JsonResponse(200, {{"wait_ms", grants ? 0 : 700}}));
      });
  cr_assert(!Failed(holder.Listen("127.0.0.1:0")));
  // With a thousand other daemons, this one is unlikely to hold the allowance.
  std::map<std::string, std::string> others;
  for (int i = 0; i < 1'000; ++i) {
    const std::string host = "other-" + std::to_string(i);
    others[MemberKey(host)] =
        EncodeMember({host, "z", "", holder.address(), false});
  }
  subject.store.PutAll(others);
  cr_assert(WaitFor([&] {
    return Fetch(subject.client, subject.Request("/once/x")).response.status ==
               200 &&
           taken > 0;
  }));
  grants = false;
  const http_response refused =
      Fetch(subject.client, subject.Request("/once/x")).response;
  cr_assert(refused.status == 429);
  cr_assert(!refused.headers.Find("Retry-After").empty());
  holder.Stop();
  const http_response unavailable =
      Fetch(subject.client, subject.Request("/once/x")).response;
  cr_assert(unavailable.status == 503, "%d", unavailable.status);
}

// Guards against timeouts of the configuration that are read but not applied to
// callers' connections.
Test(gateway_daemon, configured_limits_bound_callers) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "");
      });
  const raw_connection half(subject.caller_address);
  half.Write("GET /x HT");
  cr_assert(half.IsClosedWithin(milliseconds(5'000)));
  const raw_connection idle(subject.caller_address);
  cr_assert(!idle.IsClosedWithin(milliseconds(600)));
  cr_assert(idle.IsClosedWithin(milliseconds(5'000)));
}

// Guards against a request that runs twice, or is reported as not run, because
// its response was lost.
Test(gateway_daemon, an_action_whose_answer_is_lost_is_not_repeated) {
  gateway_fixture subject([](const std::shared_ptr<http_exchange>& exchange,
                             int) { exchange->Abort(); });
  const http_outcome outcome =
      Fetch(subject.client, subject.Request("/once/x"));
  cr_assert(outcome.response.status == 502);
  cr_assert(subject.target.runs() == 1);
}

// Guards against returning a failure for an idempotent request that the gateway
// can retry itself. The response of the first run lacks its seal.
Test(gateway_daemon, repeats_what_may_be_repeated) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int run) {
        if (run == 1) {
          exchange->Respond({200, http_headers(), "without a seal"});
        } else {
          fake_target::RespondSealed(exchange, "whole");
        }
      });
  http_client_request request = subject.Request("/again/x");
  request.method = "GET";
  const http_outcome outcome = Fetch(subject.client, request);
  cr_assert(subject.target.runs() == 2);
  cr_assert(outcome.response.status == 200);
  cr_assert(outcome.response.body == "whole");
}

// Guards against reporting the rejection by a full target without a Retry-After
// field.
Test(gateway_daemon, tells_when_to_come_back_if_the_target_is_full) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        http_headers headers;
        headers.Add("Not-Run", "1");
        exchange->Respond({503, headers, ""});
      });
  const http_outcome outcome =
      Fetch(subject.client, subject.Request("/once/x"));
  cr_assert(outcome.response.status == 503);
  cr_assert(!outcome.response.headers.Find("Retry-After").empty());
}

// Guards against joining the streams of two runs in the wrong place.
Test(gateway_daemon, a_broken_stream_goes_on_after_its_last_event) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int run) {
        http_headers headers = fake_target::SealedHeaders(*exchange);
        headers.Add("Content-Type", "text/event-stream");
        exchange->StartChunks(headers);
        if (run == 1) {
          exchange->SendChunk("id: 1\ndata: a\n\nid: 2\nda");
          // The chunk is sent only after the handler returns.
          std::thread([exchange] {
            std::this_thread::sleep_for(milliseconds(50));
            exchange->Abort();
          }).detach();
          return;
        }
        if (exchange->request().headers.Find("Last-Event-Id") == "1") {
          exchange->SendChunk("id: 2\ndata: b\n\n");
        }
        exchange->EndStream();
      });
  http_client_request request = subject.Request("/turn/x");
  request.headers.Add("Program-Id", "p");
  request.headers.Add("Token-Budget", "100");
  request.headers.Add("Token-Count", "5,30");
  const http_outcome outcome = Fetch(subject.client, request);
  cr_assert(!outcome.failure);
  cr_assert(outcome.response.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against turns that exceed the token budget of their program.
Test(gateway_daemon, refuses_a_turn_that_the_budget_does_not_hold) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        http_headers headers = fake_target::SealedHeaders(*exchange);
        headers.Add("Content-Type", "text/event-stream");
        exchange->StartChunks(headers);
        exchange->SendChunk(
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        exchange->EndStream();
      });
  http_client_request request = subject.Request("/turn/x");
  request.headers.Add("Program-Id", "p");
  request.headers.Add("Token-Budget", "70");
  request.headers.Add("Token-Count", "5,30");
  cr_assert(Fetch(subject.client, request).response.status == 200);
  cr_assert(Fetch(subject.client, request).response.status == 200);
  cr_assert(Fetch(subject.client, request).response.status == 402);
  cr_assert(subject.target.runs() == 2);
}

// Guards against accepting a withdrawn key, and against accepting any key by a
// stale configuration while the store is unavailable.
Test(gateway_daemon, a_withdrawn_key_stops_working) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "whole");
      });
  const auto status = [&subject] {
    return Fetch(subject.client, subject.Request("/once/x")).response.status;
  };
  cr_assert(status() == 200);
  subject.store.SetUnavailable(true);
  std::this_thread::sleep_for(milliseconds(2'000));
  cr_assert(status() == 503);
  cr_assert(subject.Status(subject.readiness_address, "/readiness") == 503);
  subject.Configure("[]");
  subject.store.SetUnavailable(false);
  cr_assert(WaitFor([&] { return status() == 401; }));
}

// Guards against an owner that is cut off from the store and delays the turns
// that other daemons ask it about, instead of rejecting them early (inc-1251).
Test(gateway_daemon, an_owner_without_the_store_answers_soon) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "whole");
      });
  subject.store.SetUnresponsive(true);
  // Long enough for the next listing to time out.
  std::this_thread::sleep_for(milliseconds(2'300));
  turn_request turn;
  turn.program = "p";
  turn.service = "s";
  turn.budget = 100;
  turn.max_output_tokens = 30;
  turn.time_left = milliseconds(2'000);
  turn.wait_limit = milliseconds(1'000);
  http_client_request request;
  request.address = subject.peer_address;
  request.method = "POST";
  request.target = "/turns/ask";
  request.body = json(turn).dump();
  const auto began = std::chrono::steady_clock::now();
  turn_verdict verdict;
  do {
    const http_outcome outcome = Fetch(subject.client, request);
    verdict = json::parse(outcome.response.body).get<turn_verdict>();
    request.body = json{{"ticket", verdict.ticket}}.dump();
  } while (verdict.result == turn_verdict::outcome::undecided);
  // Within half of the wait limit, so that another daemon can still be tried.
  cr_assert(std::chrono::steady_clock::now() - began < turn.wait_limit / 2);
  cr_assert(verdict.result == turn_verdict::outcome::unavailable);
}

// Guards against sending requests to a target that has left, and against
// requests that wait for one.
Test(gateway_daemon, refuses_at_once_without_a_target) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "whole");
      });
  subject.store.Remove("servers/i-1");
  cr_assert(WaitFor([&subject] {
    return Fetch(subject.client, subject.Request("/once/x")).response.status ==
           503;
  }));
  const int before = subject.target.runs();
  const auto began = std::chrono::steady_clock::now();
  cr_assert(Fetch(subject.client, subject.Request("/once/x")).response.status ==
            503);
  cr_assert(std::chrono::steady_clock::now() - began < milliseconds(500));
  cr_assert(subject.target.runs() == before);
}

// Guards against directing callers to a daemon that is stopping, and against
// aborting a request during a planned stop.
Test(gateway_daemon, finishes_requests_and_leaves_the_directory_on_stop) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        std::this_thread::sleep_for(milliseconds(600));
        fake_target::RespondSealed(exchange, "whole");
      });
  cr_assert(WaitFor([&subject] {
    return subject.Status(subject.directory_address, "/resolve?name=h") == 200;
  }));
  std::atomic<int> answered{0};
  std::thread caller([&] {
    answered =
        Fetch(subject.client, subject.Request("/once/x")).response.status;
  });
  cr_assert(WaitFor([&subject] { return subject.target.runs() == 1; }));
  std::atomic<bool> stopped{false};
  subject.daemon_pool.After(milliseconds(0), [&] {
    subject.daemon->Stop([&stopped] { stopped = true; });
  });
  cr_assert(WaitFor([&subject] {
    return subject.Status(subject.readiness_address, "/readiness") == 503;
  }));
  cr_assert(subject.Status(subject.directory_address, "/resolve?name=h") ==
            503);
  caller.join();
  cr_assert(answered == 200);
  cr_assert(WaitFor([&stopped] { return stopped.load(); }));
}
