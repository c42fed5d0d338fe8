// Tests targets that say in their answers that they leave, while their
// registration still says that they are ready.
#include <criterion/criterion.h>

#include <atomic>
#include <thread>

#include "platform/gateway_fixture.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::WaitFor;

namespace {

/** A gateway and two targets, of which the first may say that it leaves. */
class leaving_fixture {
 public:
  leaving_fixture()
      : gateway([this](const std::shared_ptr<http_exchange>& exchange, int) {
          http_headers headers = fake_target::SealedHeaders(*exchange);
          if (leaves) {
            headers.Add("Server-Leaving", "1");
          }
          if (refuses) {
            headers.Add("Not-Run", "1");
          }
          exchange->Respond({refuses ? 503 : 200, headers, "first"});
        }),
        other(gateway.pool,
              [](const std::shared_ptr<http_exchange>& exchange, int) {
                fake_target::RespondSealed(exchange, "other");
              }) {
    // In another failure domain, so that the first target is preferred.
    gateway.store.Put("servers/i-2",
                      R"({"service":"s","address":")" + other.address() +
                          R"(","zone":"far","slots":4,"state":"ready","seq":1,)"
                          R"("born":1,"version":"v1"})");
    refuses = true;
    cr_assert(WaitFor([this] { return Send() == 200; }));
    refuses = false;
  }
  ~leaving_fixture() {
    gateway.daemon_pool.Stop();
    gateway.pool.Stop();
  }

  int Send() {
    static int number = 0;
    http_client_request request = gateway.Request("/once/x");
    request.headers = http_headers();
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", "r" + std::to_string(++number));
    request.headers.Add("X-Api-Key", "k");
    return Fetch(gateway.client, request).response.status;
  }

  /** Requests that reach the first target, of several. */
  int RunsAtFirst() {
    constexpr int kRequests = 20;
    const int before = gateway.target.runs();
    for (int i = 0; i < kRequests; ++i) {
      cr_assert(Send() == 200);
    }
    return gateway.target.runs() - before;
  }

  std::atomic<bool> leaves{false};
  std::atomic<bool> refuses{false};
  gateway_fixture gateway;
  fake_target other;
};

}  // namespace

// Guards against requests to a target that has said that it leaves, also while
// the key-value service says otherwise or is away (DRAIN).
Test(leaving_targets, get_no_more_requests, .timeout = 60) {
  for (const bool refuses : {false, true}) {
    leaving_fixture subject;
    subject.refuses = refuses;
    subject.leaves = true;
    cr_assert(WaitFor([&] {
      const int before = subject.gateway.target.runs();
      cr_assert(subject.Send() == 200);
      return subject.gateway.target.runs() > before;
    }));
    cr_assert(subject.RunsAtFirst() == 0);
    // Several listings later.
    std::this_thread::sleep_for(milliseconds(1'700));
    cr_assert(subject.RunsAtFirst() == 0);
  }
}

// Guards against a target that stays out of use after it has started again.
Test(leaving_targets, serve_after_a_restart, .timeout = 60) {
  leaving_fixture subject;
  subject.leaves = true;
  cr_assert(WaitFor([&] {
    const int before = subject.gateway.target.runs();
    cr_assert(subject.Send() == 200);
    return subject.gateway.target.runs() > before;
  }));
  subject.leaves = false;
  cr_assert(subject.RunsAtFirst() == 0);
  subject.gateway.store.Put(
      "servers/i-1", R"({"service":"s","address":")" +
                         subject.gateway.target.address() +
                         R"(","zone":"z","slots":4,"state":"ready","seq":1,)"
                         R"("born":2,"version":"v1"})");
  cr_assert(WaitFor([&] { return subject.RunsAtFirst() > 0; }));
}
