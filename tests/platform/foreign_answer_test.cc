// Tests answers that a target writes twice on a kept connection: the copy comes
// where the answer to the next request is expected.
#include <criterion/criterion.h>

#include <atomic>

#include "platform/gateway_fixture.h"
#include "support/scripted_target.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::http_outcome;
using gentian::testing::scripted_target;
using gentian::testing::WaitFor;

using step = scripted_target::step;
using ending = scripted_target::ending;

namespace {

std::string Answer(const std::string& request, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " +
         scripted_target::FieldOf(request, "Request-Id") +
         "\r\nResponse-Seal: seal\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A refusal of an earlier request; with its ID, or without one.
std::string Refusal(const std::string& id) {
  return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" +
         (id.empty() ? std::string() : "Request-Id: " + id + "\r\n") +
         "Content-Length: 2\r\n\r\nno";
}

/** A gateway whose only target for the service "s" is a scripted one. */
class foreign_answers {
 public:
  explicit foreign_answers(scripted_target& target)
      : gateway([](const std::shared_ptr<http_exchange>& exchange, int) {
          fake_target::RespondSealed(exchange, "");
        }) {
    gateway.store.Remove("servers/i-1");
    gateway.RegisterTarget("scripted", target.address(), "v1");
    cr_assert(WaitFor([this] {
      static int number = 0;
      return Send("warm-" + std::to_string(++number)).response.body == "warm";
    }));
  }

  http_outcome Send(const std::string& id) {
    http_client_request request = gateway.Request("/once/x");
    request.headers = http_headers();
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", id);
    request.headers.Add("X-Api-Key", "k");
    request.headers.Add("Deadline-Ms", "1500");
    return Fetch(gateway.client, request);
  }

  gateway_fixture gateway;
};

bool IsWarm(const std::string& request) {
  return scripted_target::FieldOf(request, "Request-Id").rfind("warm", 0) == 0;
}

}  // namespace

// Guards against a caller that is told "not run" for a request that runs: the
// refusal before its answer belongs to another request.
Test(foreign_answers, a_copied_refusal_is_no_answer, .timeout = 60) {
  for (const char* id : {"earlier", ""}) {
    std::atomic<int> runs{0};
    scripted_target target([&](const std::string& request, int number) {
      if (IsWarm(request)) {
        return step{Answer(request, "warm")};
      }
      ++runs;
      cr_assert(number > 1, "the connection was kept");
      return step{Refusal(id) + Answer(request, "own")};
    });
    foreign_answers subject(target);
    const http_outcome outcome = subject.Send("r1");
    cr_assert(outcome.response.status == 200 && outcome.response.body == "own",
              "id '%s': %d %s", id, outcome.response.status,
              outcome.response.body.c_str());
    cr_assert(runs == 1);
  }
}

// Guards against the same promise when the request's own answer never comes.
Test(foreign_answers, a_request_without_an_answer_may_have_run, .timeout = 60) {
  for (const char* id : {"earlier", ""}) {
    std::atomic<int> runs{0};
    scripted_target target([&](const std::string& request, int) {
      if (IsWarm(request)) {
        return step{Answer(request, "warm")};
      }
      ++runs;
      return step{Refusal(id), ending::close};
    });
    foreign_answers subject(target);
    const http_outcome outcome = subject.Send("r1");
    cr_assert(outcome.response.status == 502, "id '%s': %d", id,
              outcome.response.status);
    cr_assert(runs == 1);
  }
}

// Guards against a caller that gets the answer of another one.
Test(foreign_answers, a_copied_answer_is_no_answer, .timeout = 60) {
  scripted_target target([&](const std::string& request, int) {
    if (IsWarm(request)) {
      return step{Answer(request, "warm")};
    }
    const std::string earlier = "x\r\nRequest-Id: earlier\r\n";
    return step{Answer(earlier, "another's") + Answer(request, "own")};
  });
  foreign_answers subject(target);
  for (int i = 0; i < 3; ++i) {
    const http_outcome outcome = subject.Send("r" + std::to_string(i));
    cr_assert(outcome.response.body == "own", "%s",
              outcome.response.body.c_str());
    cr_assert(subject.Send("warm-again").response.body == "warm");
  }
}

// Guards against a connection that answers others without end.
Test(foreign_answers, their_number_is_bounded, .timeout = 60) {
  scripted_target target([&](const std::string& request, int) {
    if (IsWarm(request)) {
      return step{Answer(request, "warm")};
    }
    std::string many;
    for (int i = 0; i < 50; ++i) {
      many += Refusal("earlier");
    }
    return step{many};
  });
  foreign_answers subject(target);
  const auto began = std::chrono::steady_clock::now();
  cr_assert(subject.Send("r1").response.status == 502);
  cr_assert(std::chrono::steady_clock::now() - began < milliseconds(1'000));
}
