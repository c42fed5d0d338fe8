// A whole gateway daemon between callers and targets, with the platform's
// formats, against stand-ins.
#include <criterion/criterion.h>
#include <unistd.h>

#include <array>
#include <thread>

#include "gentian_gateway_daemon/gentian_gateway_daemon.h"
#include "gentian_gateway_daemon/turn_request.h"
#include "gentian_log/gentian_log.h"
#include "platform/platform.h"
#include "platform/platform_stand_in.h"
#include "support/raw_connection.h"
#include "support/synchronous_http.h"

using namespace gentian;
using gentian::testing::Fetch;
using gentian::testing::http_outcome;
using gentian::testing::raw_connection;
using gentian::testing::store_stand_in;
using gentian::testing::target_stand_in;
using gentian::testing::WaitFor;

namespace {

// Tests run side by side in processes of their own; each has a loopback address
// of its own, so that ports do not collide.
std::string OwnAddress(int port) {
  constexpr int kByte = 256;
  const int process = getpid();
  return "127." + std::to_string(process / kByte % kByte) + "." +
         std::to_string(process % kByte) + ".1:" + std::to_string(port);
}

// One daemon, one target for all services, and one team with the key "k".
class rig {
 public:
  explicit rig(target_stand_in::behaviour answer)
      : target(pool, std::move(answer)), store(pool) {
    Configure(R"(["k"])");
    store.Put("servers/i-1", R"({"service":"s","address":")" +
                                 target.address() +
                                 R"(","zone":"z","slots":4,"state":"ready",)"
                                 R"("seq":1,"born":1})");
    gateway_settings settings;
    settings.host = "host";
    settings.failure_domain = "z";
    settings.caller_address = caller_address;
    settings.directory_address = directory_address;
    settings.readiness_address = readiness_address;
    settings.peer_address = peer_address;
    settings.withdrawal_bound = milliseconds(2'000);
    daemon = std::make_unique<gateway_daemon>(daemon_pool, store, protocol,
                                              settings, "start-1");
    cr_assert(!Failed(daemon->Start()));
    cr_assert(WaitFor(
        [this] { return Status(readiness_address, "/readiness") == 200; }));
  }

  ~rig() {
    daemon_pool.Stop();
    pool.Stop();
  }

  void Configure(const std::string& keys) {
    store.Put(
        "op/config",
        R"({"version":)" + std::to_string(++version) +
            R"(,"routes":[{"name":"once","host":"h","prefix":"/once/",)"
            R"("kind":"non_idempotent","timeout_ms":2000,"service":"s"},)"
            R"({"name":"again","host":"h","prefix":"/again/",)"
            R"("kind":"idempotent","timeout_ms":2000,"attempts":1,)"
            R"("service":"s"},{"name":"turn","host":"h","prefix":"/turn/",)"
            R"("kind":"streaming","resumable":true,"timeout_ms":3000,)"
            R"("attempts":1,"service":"s"}],)"
            R"("limits":{"header_timeout_ms":300,"idle_timeout_ms":1500},)"
            R"("services":[{"name":"s",)"
            R"("engine":{"tokens_per_event":10}}],"tenants":[{"name":"t",)"
            R"("api_keys":)" +
            keys + R"(,"rate_per_s":1000,"burst":1000}]})");
  }

  http_client_request Request(const std::string& path) const {
    http_client_request request;
    request.address = caller_address;
    request.method = "POST";
    request.target = path;
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", "r-" + path);
    request.headers.Add("X-Api-Key", "k");
    request.headers.Add("Deadline-Ms", "2000");
    return request;
  }

  int Status(const std::string& address, const std::string& path) {
    http_client_request request;
    request.address = address;
    request.target = path;
    return Fetch(client, request).response.status;
  }

  io_pool pool{2};
  io_pool daemon_pool{1};
  const std::string caller_address = OwnAddress(18368);
  const std::string directory_address = OwnAddress(18360);
  const std::string peer_address = OwnAddress(17780);
  const std::string readiness_address = OwnAddress(18369);
  target_stand_in target;
  store_stand_in store;
  platform_protocol protocol;
  int version = 0;
  http_client client{pool};
  std::unique_ptr<gateway_daemon> daemon;
};

}  // namespace

// Guards against requests that are not served because nobody reads the log.
Test(gateway_daemon, serves_while_nobody_reads_its_log, .timeout = 60) {
  std::array<int, 2> pipe_ends{};
  cr_assert(::pipe(pipe_ends.data()) == 0);
  cr_assert(::dup2(pipe_ends[1], STDOUT_FILENO) >= 0);
  cr_assert(!Failed(StartLog("info", "host", log_output::standard_output)));
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    target_stand_in::AnswerWhole(exchange, "");
  });
  // The pipe holds the lines of about 100 requests; the allowance of a daemon
  // that has just started holds 401.
  constexpr int kRequests = 300;
  for (int i = 0; i < kRequests; ++i) {
    const http_outcome outcome =
        Fetch(subject.client, subject.Request("/again/x"));
    cr_assert(outcome.response.status == 200, "request %d: status %d", i,
              outcome.response.status);
  }
}

// Guards against an answer that is changed, or a key that reaches a target.
Test(gateway_daemon, passes_requests_and_answers_on) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    const http_headers& headers = exchange->request().headers;
    target_stand_in::AnswerWhole(exchange, headers.Find("Tenant") + "," +
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

// Guards against requests that are refused because another daemon holds the
// team's allowance, and against a right that is kept though nothing ran.
Test(gateway_daemon, asks_the_holders_of_an_allowance, .timeout = 30) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    target_stand_in::AnswerWhole(exchange, "");
  });
  std::atomic<int> taken{0};
  std::atomic<bool> grants{true};
  http_server holder(
      subject.pool, [&](const std::shared_ptr<http_exchange>& exchange) {
        ++taken;
        exchange->Respond(JsonResponse(200, {{"wait_ms", grants ? 0 : 700}}));
      });
  cr_assert(!Failed(holder.Listen("127.0.0.1:0")));
  // A thousand daemons, so that this one is no holder of a part in a thousand.
  for (int i = 0; i < 1'000; ++i) {
    const std::string host = "other-" + std::to_string(i);
    subject.store.Put(MemberKey(host),
                      EncodeMember({host, "z", "", holder.address(), false}));
  }
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

// Guards against the platform's limits on callers being read and not applied.
Test(gateway_daemon, configured_limits_bound_callers) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    target_stand_in::AnswerWhole(exchange, "");
  });
  const raw_connection half(subject.caller_address);
  half.Write("GET /x HT");
  cr_assert(half.IsClosedWithin(milliseconds(5'000)));
  const raw_connection idle(subject.caller_address);
  cr_assert(!idle.IsClosedWithin(milliseconds(600)));
  cr_assert(idle.IsClosedWithin(milliseconds(5'000)));
}

// Guards against an action that runs twice, or is said not to have run, because
// its answer was lost.
Test(gateway_daemon, an_action_whose_answer_is_lost_is_not_repeated) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    exchange->Abort();
  });
  const http_outcome outcome =
      Fetch(subject.client, subject.Request("/once/x"));
  cr_assert(outcome.response.status == 502);
  cr_assert(subject.target.runs() == 1);
}

// Guards against a caller that has to repeat what the system may repeat.
Test(gateway_daemon, repeats_what_may_be_repeated) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int run) {
    if (run == 1) {
      exchange->Respond({200, http_headers(), "without a seal"});
    } else {
      target_stand_in::AnswerWhole(exchange, "whole");
    }
  });
  http_client_request request = subject.Request("/again/x");
  request.method = "GET";
  const http_outcome outcome = Fetch(subject.client, request);
  cr_assert(subject.target.runs() == 2);
  cr_assert(outcome.response.status == 200);
  cr_assert(outcome.response.body == "whole");
}

// Guards against a refusal of a full target that is reported as a failure.
Test(gateway_daemon, tells_when_to_come_back_if_the_target_is_full) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    http_headers headers;
    headers.Add("Not-Run", "1");
    exchange->Respond({503, headers, ""});
  });
  const http_outcome outcome =
      Fetch(subject.client, subject.Request("/once/x"));
  cr_assert(outcome.response.status == 503);
  cr_assert(!outcome.response.headers.Find("Retry-After").empty());
}

// Guards against pieces of two runs that are joined in the wrong place.
Test(gateway_daemon, a_broken_stream_goes_on_after_its_last_event) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int run) {
    http_headers headers = target_stand_in::Sealed(*exchange);
    headers.Add("Content-Type", "text/event-stream");
    exchange->StartChunks(headers);
    if (run == 1) {
      exchange->SendChunk("id: 1\ndata: a\n\nid: 2\nda");
      // The handler has to return before its bytes leave.
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

// Guards against a program that exceeds its token budget.
Test(gateway_daemon, refuses_a_turn_that_the_budget_does_not_hold) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    http_headers headers = target_stand_in::Sealed(*exchange);
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

// Guards against a withdrawn key that works, and against one that is served
// from an old configuration while the store is away.
Test(gateway_daemon, a_withdrawn_key_stops_working) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    target_stand_in::AnswerWhole(exchange, "whole");
  });
  const auto status = [&subject] {
    return Fetch(subject.client, subject.Request("/once/x")).response.status;
  };
  cr_assert(status() == 200);
  subject.store.SetAway(true);
  std::this_thread::sleep_for(milliseconds(2'000));
  cr_assert(status() == 503);
  cr_assert(subject.Status(subject.readiness_address, "/readiness") == 503);
  subject.Configure("[]");
  subject.store.SetAway(false);
  cr_assert(WaitFor([&] { return status() == 401; }));
}

// Guards against inc-1251 of the second site: a daemon that was cut off from
// the store held turns up that other daemons asked it about.
Test(gateway_daemon, an_owner_without_the_store_answers_soon) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    target_stand_in::AnswerWhole(exchange, "whole");
  });
  subject.store.SetSilent(true);
  // Time for the next listing to fail.
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
  // Half of the time that the turn may wait, so that another daemon can try.
  cr_assert(std::chrono::steady_clock::now() - began < turn.wait_limit / 2);
  cr_assert(verdict.result == turn_verdict::outcome::unavailable);
}

// Guards against work for a target that has left.
Test(gateway_daemon, refuses_at_once_without_a_target) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    target_stand_in::AnswerWhole(exchange, "whole");
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

// Guards against callers that are sent to a daemon that is stopping, and
// against a request that is cut off by a planned stop.
Test(gateway_daemon, finishes_requests_and_leaves_the_directory_on_stop) {
  rig subject([](const std::shared_ptr<http_exchange>& exchange, int) {
    std::this_thread::sleep_for(milliseconds(600));
    target_stand_in::AnswerWhole(exchange, "whole");
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
