// Tests that metrics tell apart what may use up the host of a process.
#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "platform/gateway_fixture.h"
#include "support/raw_connection.h"

using namespace gentian;
using namespace gentian::testing;

// Guards against a gateway that is killed for want of memory or can't open
// descriptors, and whose metrics did not show what took them.
Test(connection_report, shows_connections_beside_the_limits) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "");
      });
  constexpr int kConnections = 20;
  std::vector<std::unique_ptr<raw_connection>> idle;
  idle.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    idle.push_back(
        std::make_unique<raw_connection>(subject.Settings(0).caller_address));
  }
  cr_assert(WaitFor([&subject] {
    return subject.Gauge("open_connections_callers") >= kConnections;
  }));
  cr_assert(subject.Gauge("refused_connections_callers") == 0);
  cr_assert(subject.Gauge("open_descriptors") > kConnections);
  cr_assert(subject.Gauge("descriptor_limit") >=
            subject.Gauge("open_descriptors"));
  cr_assert(subject.Gauge("resident_bytes") > 0);
  cr_assert(subject.Gauge("memory_limit_bytes") == 0);
}

// Guards against a listener of the inside whose refusals nobody sees.
Test(connection_report, counts_refusals_of_each_listener) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "");
      });
  constexpr milliseconds kAnswerLimit{5'000};
  const std::string long_header =
      "GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(20'000, 'a') +
      "\r\n\r\n";
  const auto status = [&](const std::string& address, const std::string& text) {
    const raw_connection connection(address);
    connection.Write(text);
    return connection.Read(kAnswerLimit).substr(0, 12);
  };
  const gateway_settings& settings = subject.Settings(0);
  for (const std::string& address :
       {settings.peer_address, settings.readiness_address}) {
    cr_assert(status(address, long_header) == "HTTP/1.1 431");
  }
  cr_assert(status(settings.peer_address,
                   "POST /turns/ask HTTP/1.1\r\nHost: h\r\nContent-Length: "
                   "70000\r\n\r\n") == "HTTP/1.1 413");
  cr_assert(status(settings.peer_address, "no HTTP\r\n\r\n") == "HTTP/1.1 400");
  const std::string page = subject.Page();
  for (const char* line : {"reason=\"peers.too_large\"} 2\n",
                           "reason=\"peers.malformed_request\"} 1\n",
                           "reason=\"readiness.too_large\"} 1\n"}) {
    cr_assert(page.find("gentian_refused_unread") != std::string::npos &&
                  page.find(line) != std::string::npos,
              "%s in %s", line, page.c_str());
  }
}
