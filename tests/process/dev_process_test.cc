#include <criterion/criterion.h>

#include <future>

#include "support/child_process.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

// `gentianrun dev` and a caller of it.
struct dev_fixture {
  dev_fixture() {
    cr_assert(WaitFor(
        [&] { return process.Output().find("ready") != std::string::npos; }));
    const std::string scheme = "http://";
    address = process.Field("address").substr(scheme.size());
    tools = process.Field("tools").substr(scheme.size());
    key = process.Field("key");
  }
  ~dev_fixture() { pool.Stop(); }

  http_outcome Call(const std::string& target,
                    const json& body,
                    const std::string& session = "",
                    const std::string& idempotency_key = "") {
    http_client_request request = PostRequest(address, target, body.dump());
    request.headers.Add("Authorization", "Bearer " + key);
    if (!session.empty()) {
      request.headers.Add("X-Session", session);
    }
    if (!idempotency_key.empty()) {
      request.headers.Add("Idempotency-Key", idempotency_key);
    }
    return Fetch(client, std::move(request));
  }

  std::string OpenSession() {
    http_outcome opened;
    cr_assert(WaitFor([&] {
      opened = Call("/v1/sessions", {{"program", "assistant"}});
      return opened.response.status == 200 && !opened.failure;
    }));
    return json::parse(opened.response.body)["id"];
  }

  child_process process{{"dev", "--address", "127.0.0.1:0"}};
  io_pool pool{2};
  http_client client{pool};
  std::string address;
  std::string tools;
  std::string key;
};

bool EndsWithDone(const http_outcome& outcome) {
  return !outcome.failure &&
         outcome.response.body.find("data: [DONE]") != std::string::npos;
}

}  // namespace

// Guards against a planned stop that cuts off requests (I11).
Test(dev_process, sigterm_under_load_cuts_off_no_request) {
  dev_fixture fixture;
  std::vector<std::future<http_outcome>> streams;
  std::vector<std::future<http_outcome>> bookings;
  for (int i = 0; i < 20; ++i) {
    const std::string session = fixture.OpenSession();
    streams.push_back(std::async(std::launch::async, [&fixture, session] {
      return fixture.Call(
          "/v1/chat/completions",
          {{"stream", true},
           {"max_tokens", 100},
           {"messages", {{{"role", "user"}, {"content", "words=100"}}}}},
          session);
    }));
    const std::string other = fixture.OpenSession();
    bookings.push_back(std::async(std::launch::async, [&fixture, other] {
      return fixture.Call("/v1/sessions/" + other + "/tools/book",
                          {{"delay_ms", 1'000}}, "", other);
    }));
  }
  // The tool has as many bookings as it takes at once; the others wait in the
  // daemon.
  cr_assert(WaitFor([&] {
    http_client_request request;
    request.address = fixture.tools;
    request.target = "/executions";
    const http_outcome report = Fetch(fixture.client, request);
    return json::parse(report.response.body)["total"] >= 8;
  }));
  fixture.process.Signal(SIGTERM);
  for (auto& stream : streams) {
    const http_outcome outcome = stream.get();
    cr_assert(EndsWithDone(outcome), "%s", outcome.response.body.c_str());
  }
  for (auto& booking : bookings) {
    const http_outcome outcome = booking.get();
    cr_assert(!outcome.failure);
    cr_assert(outcome.response.status == 200, "%s",
              outcome.response.body.c_str());
  }
  cr_assert(fixture.process.Wait() == 0);
}

// Guards against a tool call that runs twice because its caller repeats it
// while the first is still running (I9).
Test(dev_process, simultaneous_repeats_run_a_tool_call_once) {
  dev_fixture fixture;
  const std::string session = fixture.OpenSession();
  constexpr int kRepeats = 10;
  std::vector<std::future<http_outcome>> repeats;
  repeats.reserve(kRepeats);
  for (int i = 0; i < kRepeats; ++i) {
    repeats.push_back(std::async(std::launch::async, [&fixture, session] {
      return fixture.Call("/v1/sessions/" + session + "/tools/book",
                          {{"delay_ms", 200}}, "", "booking");
    }));
  }
  for (auto& repeat : repeats) {
    const http_outcome outcome = repeat.get();
    cr_assert(outcome.response.status == 200);
    cr_assert(json::parse(outcome.response.body)["execution"] == 1);
  }
}

// Guards against a command line whose help can not be reached.
Test(dev_process, every_subcommand_has_help_and_version) {
  for (const char* name : {"serve", "dev"}) {
    for (const char* option : {"--help", "--version"}) {
      child_process process({name, option});
      cr_assert(process.Wait() == 0);
      cr_assert(process.Output().find("gentianrun") != std::string::npos);
    }
  }
  child_process unknown({"no-such-subcommand"});
  cr_assert(unknown.Wait() == 2);
}
