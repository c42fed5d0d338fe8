#include <criterion/criterion.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <thread>
#include <vector>

#include "support/raw_connection.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

constexpr const char* kAnyPort = "127.0.0.1:0";

// A server whose answer depends on the path, and a client.
struct server_fixture {
  explicit server_fixture(http_server_limits limits = {})
      : server(
            pool,
            [this](const std::shared_ptr<http_exchange>& exchange) {
              Handle(exchange);
            },
            limits) {
    cr_assert(!Failed(server.Listen(kAnyPort)));
  }
  ~server_fixture() {
    server.Stop();
    pool.Stop();
  }

  void Handle(const std::shared_ptr<http_exchange>& exchange) {
    const std::string path = exchange->request().Path();
    if (path == "/abort") {
      exchange->Abort();
    } else if (path == "/events") {
      exchange->StartEvents({});
      exchange->SendEvent(stream_event{"1", "", "first\nline"});
      exchange->SendEvent(stream_event{"2", "note", "second"});
      exchange->EndStream();
    } else if (path == "/end" || (path == "/once" && ++aborts == 1)) {
      if (path == "/end") {
        server.StopAccepting();
      }
      exchange->Abort();
    } else if (path == "/quiet") {
      exchange->StartEvents({});
      exchange->SetDisconnectHandler([this] { ++disconnects; });
      quiet = exchange;
    } else if (path != "/never" && path != "/once") {
      exchange->Respond(
          JsonResponse(200, {{"size", exchange->request().body.size()}}));
    } else {
      exchange->SetDisconnectHandler([this] { ++disconnects; });
      quiet = exchange;
    }
  }

  http_client_request Get(const std::string& target) const {
    http_client_request request;
    request.address = server.address();
    request.target = target;
    return request;
  }

  io_pool pool{2};
  std::atomic<int> disconnects{0};
  std::atomic<int> aborts{0};
  std::shared_ptr<http_exchange> quiet;
  http_server server;
  http_client client{pool};
};

}  // namespace

// Guards against a connection that is unusable after its first answer.
Test(http, connection_is_reused) {
  server_fixture fixture;
  for (int i = 0; i < 20; ++i) {
    http_client_request request =
        PostRequest(fixture.server.address(), "/", std::string(1'000, 'x'));
    request.reuse_connection = true;
    const http_outcome outcome = Fetch(fixture.client, request);
    cr_assert(!outcome.failure);
    cr_assert(outcome.response.body == R"({"size":1000})");
  }
}

// Guards against connections that hold memory and descriptors by sending half a
// request line, and against a short bound that cuts off slow bodies.
Test(http, half_a_header_is_not_waited_for) {
  http_server_limits limits;
  limits.header_deadline = milliseconds(200);
  limits.idle_deadline = milliseconds(60'000);
  limits.receive_deadline = milliseconds(60'000);
  server_fixture fixture(limits);
  const raw_connection half(fixture.server.address());
  const raw_connection slow(fixture.server.address());
  half.Write("GET /x HT");
  slow.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n12");
  cr_assert(half.IsClosedWithin(milliseconds(5'000)));
  cr_assert(!slow.IsClosedWithin(milliseconds(100)));
  slow.Write("34");
  cr_assert(slow.Read(milliseconds(5'000)).find(R"({"size":4})") !=
            std::string::npos);
}

// Guards against a request that is lost because the process was suspended for
// longer than connections may be idle.
Test(http, a_request_that_came_while_suspended_is_answered) {
  http_server_limits limits;
  limits.idle_deadline = milliseconds(200);
  server_fixture fixture(limits);
  const raw_connection connection(fixture.server.address());
  connection.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(!connection.Read(milliseconds(5'000)).empty());
  // Both I/O threads are busy, as if the process were stopped.
  for (int i = 0; i < 2; ++i) {
    fixture.pool.After(milliseconds(50),
                       [] { std::this_thread::sleep_for(milliseconds(600)); });
  }
  std::this_thread::sleep_for(milliseconds(300));
  connection.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(connection.Read(milliseconds(5'000)).find("200 OK") !=
            std::string::npos);
}

// Guards against new bounds that take effect only after a restart.
Test(http, limits_change_while_serving) {
  server_fixture fixture;
  http_server_limits limits;
  limits.max_header_bytes = 1'000;
  fixture.server.SetLimits(limits);
  http_client_request request = fixture.Get("/");
  request.headers.Add("X-Large", std::string(2'000, 'x'));
  cr_assert(Fetch(fixture.client, request).response.status == 431);
}

// Guards against unbounded memory and against a refusal that is no JSON error.
Test(http, large_body_and_header_are_refused_with_a_typed_error) {
  http_server_limits limits;
  limits.max_body_bytes = 1'000;
  limits.max_header_bytes = 1'000;
  server_fixture fixture(limits);
  const http_outcome body = Fetch(
      fixture.client,
      PostRequest(fixture.server.address(), "/", std::string(100'000, 'x')));
  http_client_request request = fixture.Get("/");
  request.headers.Add("X-Large", std::string(2'000, 'x'));
  const http_outcome header = Fetch(fixture.client, request);
  for (const auto& [outcome, status] :
       {std::pair(body, 413), std::pair(header, 431)}) {
    cr_assert(!outcome.failure, "%s", outcome.response.body.c_str());
    cr_assert(outcome.response.status == status);
    cr_assert(json::parse(outcome.response.body)["error"]["kind"] ==
              "too_large");
  }
}

// Guards against events that are lost or joined, and lost ids.
Test(http, events_arrive_with_ids) {
  server_fixture fixture;
  const http_outcome outcome = Fetch(fixture.client, fixture.Get("/events"));
  event_stream_parser parser;
  const auto events = parser.Feed(outcome.response.body);
  cr_assert(events.size() == 2);
  cr_assert(events[0].id == "1" && events[0].data == "first\nline");
  cr_assert(events[1].type == "note" && events[1].data == "second");
}

// Guards against streams on which a caller can not tell silence from loss.
Test(http, quiet_stream_carries_comments) {
  server_fixture fixture;
  http_client_request request = fixture.Get("/quiet");
  request.silence = milliseconds(2'500);
  request.deadline = milliseconds(3'500);
  const http_outcome outcome = Fetch(fixture.client, request);
  cr_assert(outcome.failure == http_failure::deadline);
  cr_assert(WaitFor([&] { return fixture.disconnects == 1; }));
}

// Guards against a failure that is reported as "not sent" after bytes were
// sent: the call would be repeated although it may have run.
Test(http, failures_tell_whether_the_request_was_sent) {
  server_fixture fixture;
  http_client_request refused = fixture.Get("/");
  refused.address = "127.0.0.1:1";
  cr_assert(Fetch(fixture.client, refused).failure == http_failure::not_sent);
  cr_assert(Fetch(fixture.client, fixture.Get("/abort")).failure ==
            http_failure::broken);
  http_client_request late = fixture.Get("/never");
  late.deadline = milliseconds(200);
  cr_assert(Fetch(fixture.client, late).failure == http_failure::deadline);
  http_client_request silent = fixture.Get("/never");
  silent.silence = milliseconds(200);
  cr_assert(Fetch(fixture.client, silent).failure == http_failure::silent);
}

// Guards against a request that is reported as "not sent" because it was sent
// again, and the server that may have run it the first time had ended.
Test(http, a_request_that_was_sent_twice_was_sent) {
  server_fixture fixture;
  http_client_request request = fixture.Get("/");
  request.reuse_connection = true;
  cr_assert(!Fetch(fixture.client, request).failure);
  request.target = "/end";
  cr_assert(Fetch(fixture.client, request).failure == http_failure::broken);
}

// Guards against a request that can't be cancelled any more after it was sent
// again on a new connection, so that the server goes on with it.
Test(http, a_request_that_was_sent_twice_can_be_cancelled) {
  server_fixture fixture;
  http_client_request request = fixture.Get("/");
  request.reuse_connection = true;
  cr_assert(!Fetch(fixture.client, request).failure);
  request.target = "/once";
  const auto call = fixture.client.Send(
      request,
      {nullptr, nullptr, [] {}, [](http_failure, const std::string&) {}});
  cr_assert(WaitFor([&] { return fixture.aborts == 2; }));
  cr_assert(WaitFor([&] { return fixture.quiet != nullptr; }));
  call->Cancel();
  cr_assert(WaitFor([&] { return fixture.disconnects == 1; }));
  fixture.quiet.reset();
}

// Guards against lost callers that keep their call running.
Test(http, disconnect_is_reported) {
  server_fixture fixture;
  const auto call = fixture.client.Send(
      fixture.Get("/never"),
      {nullptr, nullptr, [] {}, [](http_failure, const std::string&) {}});
  cr_assert(WaitFor([&] { return fixture.quiet != nullptr; }));
  call->Cancel();
  cr_assert(WaitFor([&] { return fixture.disconnects == 1; }));
}

// Guards against answers that are cut off by a stop.
Test(http, stop_accepting_finishes_the_answer_in_progress) {
  server_fixture fixture;
  auto outcome = std::async(std::launch::async, [&] {
    return Fetch(fixture.client, fixture.Get("/never"));
  });
  cr_assert(WaitFor([&] { return fixture.quiet != nullptr; }));
  fixture.server.StopAccepting();
  fixture.quiet->Respond(JsonResponse(200, {{"late", true}}));
  cr_assert(!outcome.get().failure);
}

// Guards against a request that gets a reset in place of an answer because it
// waits in the kernel when its idle connection is closed.
Test(http, a_request_that_meets_a_stop_is_answered, .timeout = 30) {
  io_pool pool(1);
  http_server server(pool, [](const std::shared_ptr<http_exchange>& exchange) {
    exchange->Respond({200, http_headers(), "whole"});
  });
  cr_assert(!Failed(server.Listen(kAnyPort)));
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  const raw_connection caller(server.address());
  caller.Write(request);
  cr_assert(caller.Read(milliseconds(5'000)).rfind("HTTP/1.1 200", 0) == 0);
  std::atomic<bool> is_held{false};
  std::atomic<bool> has_stopped{false};
  pool.After(milliseconds(0), [&] {
    is_held = true;
    cr_assert(WaitFor([&has_stopped] { return has_stopped.load(); }));
  });
  cr_assert(WaitFor([&is_held] { return is_held.load(); }));
  caller.Write(request);
  server.StopAccepting();
  has_stopped = true;
  cr_assert(caller.Read(milliseconds(5'000)).rfind("HTTP/1.1 200", 0) == 0);
  server.Stop();
  pool.Stop();
}

// Guards against connections that are reset because a stop finds them in the
// kernel's queue, or just taken from it: their requests have been sent.
Test(http, requests_just_accepted_are_answered_in_a_stop, .timeout = 60) {
  io_pool pool(1);
  http_server server(pool, [](const std::shared_ptr<http_exchange>& exchange) {
    exchange->Respond({200, http_headers(), "whole"});
  });
  cr_assert(!Failed(server.Listen(kAnyPort)));
  std::atomic<bool> is_held{false};
  std::atomic<bool> has_stopped{false};
  pool.After(milliseconds(0), [&] {
    is_held = true;
    cr_assert(WaitFor([&has_stopped] { return has_stopped.load(); }));
  });
  cr_assert(WaitFor([&is_held] { return is_held.load(); }));
  constexpr std::size_t kCallers = 20;
  std::vector<std::unique_ptr<raw_connection>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<raw_connection>(server.address()));
    cr_assert(callers.back()->connected());
    callers.back()->Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  server.StopAccepting();
  has_stopped = true;
  std::size_t answered = 0;
  for (const auto& caller : callers) {
    if (caller->Read(milliseconds(5'000)).rfind("HTTP/1.1 200", 0) == 0) {
      ++answered;
    }
  }
  cr_assert(answered == kCallers, "%zu of %zu requests were answered", answered,
            kCallers);
  cr_assert(server.WaitUntilIdle(milliseconds(5'000)));
  server.Stop();
  pool.Stop();
}

// Guards against a connection that is closed after an answer whose header did
// not say so: the caller has sent its next request.
Test(http, a_caller_that_was_not_told_is_answered, .timeout = 30) {
  server_fixture fixture;
  const raw_connection caller(fixture.server.address());
  caller.Write("GET /quiet HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(WaitFor([&] { return fixture.quiet != nullptr; }));
  std::string answer = caller.Read(milliseconds(5'000));
  cr_assert(answer.find("Connection: close") == std::string::npos);
  fixture.server.CloseAfterAnswers();
  fixture.quiet->EndStream();
  while (answer.find("0\r\n\r\n") == std::string::npos) {
    const std::string more = caller.Read(milliseconds(5'000));
    cr_assert(!more.empty());
    answer += more;
  }
  caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  answer = caller.Read(milliseconds(5'000));
  cr_assert(answer.rfind("HTTP/1.1 200", 0) == 0);
  cr_assert(answer.find("Connection: close") != std::string::npos);
}

// Guards against a stop that leaves a caller without an answer: its request has
// come in part, or its answer is not written yet.
Test(http, connections_are_busy_until_their_answer_is_written, .timeout = 30) {
  server_fixture fixture;
  const raw_connection sending(fixture.server.address());
  sending.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1");
  const raw_connection waiting(fixture.server.address());
  waiting.Write("GET /quiet HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(WaitFor([&] { return fixture.quiet != nullptr; }));
  cr_assert(fixture.server.busy_connections() == 1);
  fixture.server.EndReceiving(
      error{error_kind::draining, "stopping", "go elsewhere"});
  cr_assert(sending.Read(milliseconds(5'000)).rfind("HTTP/1.1 503", 0) == 0);
  fixture.quiet->EndStream();
  cr_assert(WaitFor([&] { return fixture.server.busy_connections() == 0; }));
}

// Guards against a parser that depends on where the network cuts the bytes.
Test(event_stream, events_are_found_at_every_cut) {
  const std::string text =
      ": comment\n\nid: 7\nevent: note\ndata: a\ndata: b\r\n\r\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    event_stream_parser parser;
    auto events = parser.Feed(text.substr(0, cut));
    for (stream_event& event : parser.Feed(text.substr(cut))) {
      events.push_back(event);
    }
    cr_assert(events.size() == 1);
    cr_assert(events[0].id == "7" && events[0].type == "note");
    cr_assert(events[0].data == "a\nb");
  }
}

// Guards against events and lines without an end, and against a long line that
// is searched again for each of its parts.
Test(event_stream, long_events_end_it, .timeout = 30) {
  constexpr std::size_t kMost = event_stream_parser::kMaxEventBytes;
  constexpr std::size_t kPart = 1'000;
  for (const std::string& part :
       {std::string(kPart, 'x'), "data:" + std::string(kPart, 'x') + "\n"}) {
    event_stream_parser parser;
    cr_assert(parser.Feed("data: 1\n\ndata: ").size() == 1);
    std::size_t sent = 0;
    for (; !parser.is_too_long() && sent < 2 * kMost; sent += part.size()) {
      cr_assert(parser.Feed(part).empty());
    }
    cr_assert(sent > kMost && sent < kMost + kMost / 8, "%zu", sent);
    cr_assert(parser.Feed("\n\ndata: 2\n\n").empty());
  }
}

// Guards against a stack overflow when a deeply nested body is written back.
Test(json_body, deep_nesting_is_refused) {
  cr_assert(Failed(ParseJsonBody(std::string(100'000, '['))));
  cr_assert(!Failed(ParseJsonBody("[[[[1]]]]")));
}

// Guards against parts of a stream that are lost because it is broken off right
// after them.
Test(http, what_was_sent_before_an_abort_arrives, .timeout = 60) {
  constexpr std::size_t kBytes = 200'000;
  io_pool pool(2);
  http_server server(pool, [](const std::shared_ptr<http_exchange>& exchange) {
    exchange->StartChunks(http_headers());
    exchange->SendChunk(std::string(kBytes, 'x'));
    exchange->Abort();
  });
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  http_client client(pool);
  for (int i = 0; i < 20; ++i) {
    std::promise<bool> is_whole;
    std::size_t received = 0;
    http_client_request request;
    request.address = server.address();
    http_client_handlers handlers;
    handlers.on_body = [&received](std::string_view bytes) {
      received += bytes.size();
    };
    handlers.on_end = [&is_whole] { is_whole.set_value(true); };
    handlers.on_failure = [&is_whole](http_failure, const std::string&) {
      is_whole.set_value(false);
    };
    client.Send(std::move(request), std::move(handlers));
    cr_assert(!is_whole.get_future().get());
    cr_assert(received == kBytes, "%zu", received);
  }
  pool.Stop();
}

// Guards against a request that reaches a server after its sender has learned,
// while the connection was opened, that it must not.
Test(http, a_request_that_is_not_wanted_is_not_sent, .timeout = 60) {
  std::atomic<int> requests{0};
  io_pool pool(2);
  http_server server(pool, [&](const std::shared_ptr<http_exchange>& exchange) {
    ++requests;
    exchange->Respond({200, http_headers(), "whole"});
  });
  cr_assert(!Failed(server.Listen(kAnyPort)));
  http_client client(pool);
  bool is_wanted = false;
  int asked = 0;
  const auto send = [&] {
    std::promise<std::optional<http_failure>> done;
    http_client_request request;
    request.address = server.address();
    request.reuse_connection = true;
    http_client_handlers handlers;
    handlers.is_wanted = [&] {
      ++asked;
      return is_wanted;
    };
    handlers.on_end = [&done] { done.set_value(std::nullopt); };
    handlers.on_failure = [&done](http_failure failure, const std::string&) {
      done.set_value(failure);
    };
    client.Send(std::move(request), std::move(handlers));
    return done.get_future().get();
  };
  cr_assert(send() == http_failure::not_wanted);
  cr_assert(requests == 0);
  is_wanted = true;
  cr_assert(!send() && requests == 1 && asked == 2);
  // A kept connection takes no time to open.
  cr_assert(!send() && requests == 2 && asked == 2);
  pool.Stop();
}
