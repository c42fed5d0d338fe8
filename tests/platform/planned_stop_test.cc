// Tests planned stops of a gateway: what was read is answered, whenever it
// came.
#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "platform/gateway_fixture.h"
#include "support/raw_connection.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::raw_connection;
using gentian::testing::WaitFor;

namespace {

constexpr milliseconds kGrace{3'000};
// Before the listener closes, but less than 2 s before the stop ends, for which
// the callers wait.
constexpr milliseconds kLate{800};
constexpr milliseconds kAtOnce{500};
// Ends before the deadline of a request that comes with the signal.
constexpr milliseconds kShortGrace{2'000};

/** A gateway whose target takes its time, and what a caller sees of its stop.
 */
class stopping_gateway {
 public:
  explicit stopping_gateway(milliseconds work, milliseconds grace = kGrace)
      : gateway(
            [work](const std::shared_ptr<http_exchange>& exchange, int) {
              std::this_thread::sleep_for(work);
              fake_target::RespondSealed(exchange, "whole");
            },
            gateway_fixture::kWithdrawalBound,
            grace) {}

  ~stopping_gateway() {
    if (begun) {
      cr_assert(WaitFor([this] { return stopped.load(); }));
    }
  }

  void Stop() {
    begun = true;
    gateway.daemon_pool.After(milliseconds(0), [this] {
      gateway.daemon->Stop([this] { stopped = true; });
    });
  }

  static std::string Head(const std::string& path, std::size_t body) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nX-Api-Key: "
           "k\r\nDeadline-Ms: 2000\r\nContent-Length: " +
           std::to_string(body) + "\r\n\r\n";
  }

  gateway_fixture gateway;
  bool begun = false;
  std::atomic<bool> stopped{false};
};

}  // namespace

// Guards against a request that is passed on late in the grace and cut off with
// the process: its body came slowly.
Test(planned_stop, a_late_request_is_refused_at_once, .timeout = 60) {
  for (const char* path : {"/once/x", "/again/x", "/turn/x"}) {
    stopping_gateway subject(milliseconds(1'700));
    const raw_connection caller(subject.gateway.caller_address);
    caller.Write(stopping_gateway::Head(path, 4) + "bo");
    std::this_thread::sleep_for(milliseconds(50));
    subject.Stop();
    std::this_thread::sleep_for(kLate);
    caller.Write("dy");
    const auto sent = std::chrono::steady_clock::now();
    const std::string answer = caller.Read(milliseconds(5'000));
    cr_assert(answer.rfind("HTTP/1.1 503", 0) == 0, "%s: '%s'", path,
              answer.c_str());
    cr_assert(answer.find("Connection: close") != std::string::npos);
    cr_assert(answer.find("Request-Id: r1") != std::string::npos);
    cr_assert(std::chrono::steady_clock::now() - sent < kAtOnce);
    cr_assert(subject.gateway.target.runs() == 0);
  }
}

// Guards against a stop that refuses what it has the time for.
Test(planned_stop, a_request_that_can_end_is_served, .timeout = 60) {
  stopping_gateway subject(milliseconds(20));
  cr_assert(Fetch(subject.gateway.client, subject.gateway.Request("/again/x"))
                .response.status == 200);
  const raw_connection caller(subject.gateway.caller_address);
  caller.Write(stopping_gateway::Head("/again/x", 4) + "bo");
  std::this_thread::sleep_for(milliseconds(50));
  subject.Stop();
  std::this_thread::sleep_for(kLate);
  caller.Write("dy");
  const std::string answer = caller.Read(milliseconds(5'000));
  cr_assert(answer.rfind("HTTP/1.1 200", 0) == 0, "'%s'", answer.c_str());
}

// Guards against callers whose connection ends without an answer because their
// request was at work when the grace ended.
Test(planned_stop, a_request_at_work_at_the_end_is_answered, .timeout = 60) {
  for (const char* path : {"/once/x", "/turn/x"}) {
    stopping_gateway subject(milliseconds(4'000), kShortGrace);
    const raw_connection caller(subject.gateway.caller_address);
    caller.Write(stopping_gateway::Head(path, 0));
    cr_assert(
        WaitFor([&subject] { return subject.gateway.target.runs() == 1; }));
    subject.Stop();
    const std::string answer = caller.Read(milliseconds(5'000));
    // It may have run; nothing may be promised. Its deadline is later.
    cr_assert(answer.rfind("HTTP/1.1 502", 0) == 0, "%s: '%s'", path,
              answer.c_str());
  }
}

// Guards against a caller that is cut off while it sends.
Test(planned_stop, a_request_in_part_is_refused_at_the_end, .timeout = 60) {
  stopping_gateway subject(milliseconds(20), kShortGrace);
  const raw_connection caller(subject.gateway.caller_address);
  caller.Write(stopping_gateway::Head("/once/x", 4) + "bo");
  std::this_thread::sleep_for(milliseconds(50));
  subject.Stop();
  const std::string answer = caller.Read(milliseconds(5'000));
  cr_assert(answer.rfind("HTTP/1.1 503", 0) == 0, "'%s'", answer.c_str());
  cr_assert(answer.find("Request-Id: r1") != std::string::npos);
}
