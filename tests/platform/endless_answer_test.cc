// Tests answers of targets in trouble that never end. What a gateway has read
// and holds counts toward the memory of its host.
#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <functional>

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

namespace {

constexpr std::size_t kPart = 64 * 1024;
// More than the buffers of the connections on which a request is sent.
constexpr std::size_t kMostBuffered = 16 * 1024 * 1024;
// The routes let a request take 2 s and more.
constexpr milliseconds kAtOnce{1'000};

/** A gateway with one target, which answers the warm-up and is then in
    trouble. */
class endless_answers {
 public:
  explicit endless_answers(std::function<step(const std::string& request)> run)
      : target([run = std::move(run)](const std::string& request, int) {
          const std::string id =
              scripted_target::FieldOf(request, "Request-Id");
          return id.rfind("warm", 0) == 0
                     ? step{"HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                            "\r\nResponse-Seal: s\r\nContent-Length: "
                            "4\r\n\r\nwarm"}
                     : run(request);
        }),
        gateway([](const std::shared_ptr<http_exchange>& exchange, int) {
          fake_target::RespondSealed(exchange, "");
        }) {
    gateway.store.Remove("servers/i-1");
    gateway.RegisterTarget("scripted", target.address(), "v1");
    cr_assert(WaitFor([this] {
      static int number = 0;
      return Send("/once/x", "warm-" + std::to_string(++number))
                 .response.body == "warm";
    }));
  }

  http_outcome Send(const std::string& path, const std::string& id) {
    http_client_request request = gateway.Request(path);
    request.headers = http_headers();
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", id);
    request.headers.Add("X-Api-Key", "k");
    return Fetch(gateway.client, request);
  }

  scripted_target target;
  gateway_fixture gateway;
};

}  // namespace

// Guards against a gateway that collects bytes which no caller can get, until
// its host has no memory left (review/4).
// Without an identifier, it may be a copy of an earlier answer.
Test(endless_answers, an_unsigned_body_is_not_collected, .timeout = 60) {
  for (const bool has_id : {true, false}) {
    for (const char* path : {"/turn/x", "/again/x", "/once/x"}) {
      endless_answers subject([has_id](const std::string& request) {
        const std::string id =
            "Request-Id: " + scripted_target::FieldOf(request, "Request-Id");
        return step{"HTTP/1.1 200 OK\r\n" + (has_id ? id + "\r\n\r\n" : "\r\n"),
                    scripted_target::ending::keep_open,
                    std::string(kPart, 'x')};
      });
      const auto began = std::chrono::steady_clock::now();
      const http_outcome outcome = subject.Send(path, "r1");
      cr_assert(outcome.response.status == 502, "%s: %d", path,
                outcome.response.status);
      cr_assert(std::chrono::steady_clock::now() - began < kAtOnce, "%s", path);
      cr_assert(subject.target.repeated_bytes() < kMostBuffered, "%s: %zu",
                path, subject.target.repeated_bytes());
    }
  }
}

// Guards against a caller that waits until its deadline, and is then told that
// its request may have run, because a refusal's body does not end.
Test(endless_answers, a_refusal_is_believed_at_its_header, .timeout = 60) {
  for (const char* part : {"x", ""}) {
    endless_answers subject([part](const std::string& request) {
      return step{
          "HTTP/1.1 503 Service Unavailable\r\nNot-Run: "
          "1\r\nRequest-Id: " +
              scripted_target::FieldOf(request, "Request-Id") +
              "\r\nContent-Length: 9999999\r\n\r\n",
          scripted_target::ending::keep_open,
          *part == 0 ? "" : std::string(kPart, *part)};
    });
    const auto began = std::chrono::steady_clock::now();
    const http_outcome outcome = subject.Send("/once/x", "r1");
    cr_assert(outcome.response.status == 503, "%d", outcome.response.status);
    cr_assert(std::chrono::steady_clock::now() - began < kAtOnce);
    cr_assert(subject.target.repeated_bytes() < kMostBuffered, "%zu",
              subject.target.repeated_bytes());
  }
}

// Guards against a refusal whose connection is closed for no reason: each new
// connection to a target has a price.
Test(endless_answers, the_connection_of_a_refusal_is_kept, .timeout = 60) {
  std::atomic<int> most{0};
  scripted_target target([&most](const std::string& request, int number) {
    most = std::max(most.load(), number);
    return step{
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: "
        "1\r\nRequest-Id: " +
        scripted_target::FieldOf(request, "Request-Id") +
        "\r\nContent-Length: 2\r\n\r\nno"};
  });
  gateway_fixture gateway(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "");
      });
  gateway.store.Remove("servers/i-1");
  gateway.RegisterTarget("scripted", target.address(), "v1");
  cr_assert(WaitFor([&] {
    Fetch(gateway.client, gateway.Request("/once/x"));
    return most > 3;
  }));
}
