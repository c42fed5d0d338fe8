// Tests evacuated failure domains: keys of the operator under op/evacuate/.
#include <criterion/criterion.h>

#include <atomic>
#include <thread>
#include <vector>

#include "platform/gateway_fleet.h"

using namespace gentian;
using gentian::testing::fake_metadata_store;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::gateway_fleet;
using gentian::testing::http_outcome;
using gentian::testing::WaitFor;

namespace {

// The first target is in failure domain z, which the gateways prefer; the
// second one is in y.
constexpr const char* kEvacuation = "op/evacuate/z";
// Far more than the store's fake takes to show a change, and less than evac_ms.
constexpr milliseconds kApplied{1'000};

http_client_request MakeRequest(gateway_fleet& fleet,
                                std::size_t gateway,
                                const std::string& path) {
  static std::atomic<int> number{0};
  const std::string id = std::to_string(++number);
  http_client_request request = fleet.Request(gateway, path);
  request.headers = http_headers();
  request.headers.Add("Host", "h");
  request.headers.Add("Request-Id", "r" + id);
  request.headers.Add("X-Api-Key", "k");
  request.headers.Add("Deadline-Ms", "2000");
  if (path == "/turn/x") {
    request.headers.Add("Program-Id", "p" + std::to_string(number % 5));
    request.headers.Add("Token-Budget", "1000000");
    request.headers.Add("Token-Count", "10,10");
  }
  return request;
}

/** Two gateways, and a target in each of two failure domains. */
class evacuation_fixture {
 public:
  explicit evacuation_fixture(fake_target::request_handler first = Answer)
      : fleet(2, std::move(first)), other(other_pool, Answer) {
    RegisterOther("y");
    cr_assert(WaitFor([this] {
      Send(0, "/once/x");
      Send(1, "/turn/x");
      return other.runs() > 0;
    }));
  }
  ~evacuation_fixture() {
    fleet.StopPools();
    other_pool.Stop();
  }

  static void Answer(const std::shared_ptr<http_exchange>& exchange, int) {
    fake_target::RespondSealed(exchange, "answer");
  }

  void RegisterOther(const std::string& domain) {
    fleet.first.store.Put(
        "servers/i-2",
        R"({"service":"s","address":")" + other.address() + R"(","zone":")" +
            domain +
            R"(","slots":4,"state":"ready","seq":1,"born":1,"version":"v1"})");
  }

  int Send(std::size_t gateway, const std::string& path) {
    return Fetch(fleet.first.client, MakeRequest(fleet, gateway, path))
        .response.status;
  }

  /** Sends requests of all kinds to both gateways.

      @returns  those that were not answered with 200 */
  int SendAll(int rounds) {
    int failed = 0;
    for (int i = 0; i < rounds; ++i) {
      for (const char* path : {"/once/x", "/again/x", "/turn/x"}) {
        failed += Send(static_cast<std::size_t>(i % 2), path) == 200 ? 0 : 1;
      }
    }
    return failed;
  }

  int FirstRuns() const { return fleet.first.target.runs(); }

  /** True if requests reach the first target. */
  bool IsFirstUsed() {
    const int before = FirstRuns();
    SendAll(4);
    return FirstRuns() > before;
  }

  bool ShowsEvacuated(std::size_t gateway, int domains) {
    return fleet.Metrics(gateway).find("gentian_evacuated_domains " +
                                       std::to_string(domains)) !=
           std::string::npos;
  }

  io_pool other_pool{1};
  gateway_fleet fleet;
  fake_target other;
};

}  // namespace

// Guards against requests to an evacuated domain from any gateway and of any
// kind while others are served, and against targets that stay out of use after
// the key was removed.
Test(evacuation_traffic, leaves_the_domain_and_returns, .timeout = 60) {
  evacuation_fixture subject;
  cr_assert(subject.IsFirstUsed());
  std::atomic<bool> stops{false};
  std::atomic<int> failed{0};
  std::vector<std::thread> callers;
  callers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    callers.emplace_back([&] {
      while (!stops) {
        failed += subject.SendAll(1);
        // At most 300 requests a second. The gateway's share of the team's
        // allowance is 500.
        std::this_thread::sleep_for(milliseconds(30));
      }
    });
  }
  for (int round = 0; round < 2; ++round) {
    subject.fleet.first.store.Put(kEvacuation, "{}");
    std::this_thread::sleep_for(kApplied);
    const int before = subject.FirstRuns();
    std::this_thread::sleep_for(milliseconds(700));
    const int sent = subject.FirstRuns() - before;
    cr_expect(sent == 0, "round %d: %d requests", round, sent);
    subject.fleet.first.store.Remove(kEvacuation);
    cr_expect(WaitFor([&] { return subject.FirstRuns() > before + 10; }));
  }
  stops = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert(failed == 0, "%d failed", failed.load());
}

// Guards against a retry that goes back to a target which was evacuated while
// the request ran there, also where no other target may run it.
Test(evacuation_traffic, no_retry_goes_there, .timeout = 60) {
  std::atomic<bool> holds{false};
  std::atomic<bool> releases{false};
  evacuation_fixture subject(
      [&](const std::shared_ptr<http_exchange>& exchange, int) {
        if (!holds) {
          fake_target::RespondSealed(exchange, "answer");
          return;
        }
        std::thread([&, exchange] {
          WaitFor([&] { return releases.load(); });
          exchange->Abort();
        }).detach();
      });
  holds = true;
  const int before = subject.FirstRuns();
  std::vector<std::thread> callers;
  std::atomic<int> ended{0};
  std::atomic<int> served{0};
  callers.reserve(8);
  for (int i = 0; i < 8; ++i) {
    // One attempt: only the target that may have run it may run it again.
    callers.emplace_back([&] {
      served += subject.Send(0, "/again/x") == 200 ? 1 : 0;
      ++ended;
    });
  }
  cr_assert(WaitFor([&] { return subject.FirstRuns() > before; }));
  cr_assert(WaitFor([&] { return ended + subject.FirstRuns() - before == 8; }));
  const int runs = subject.FirstRuns();
  const int held = runs - before;
  subject.fleet.first.store.Put(kEvacuation, "{}");
  std::this_thread::sleep_for(milliseconds(500));
  const int other_runs = subject.other.runs();
  releases = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert(subject.FirstRuns() == runs, "%d runs after the evacuation",
            subject.FirstRuns() - runs);
  cr_assert(subject.other.runs() == other_runs);
  cr_assert(served == 8 - held, "%d served, %d held", served.load(), held);
}

// Guards against an evacuation that is lost, or ends, because the key-value
// service is away while the key is written or removed.
Test(evacuation_traffic, outlives_an_outage_of_the_store, .timeout = 60) {
  evacuation_fixture subject;
  fake_metadata_store& store = subject.fleet.first.store;
  store.SetUnavailable(true);
  store.Put(kEvacuation, "{}");
  std::this_thread::sleep_for(kApplied);
  cr_assert(subject.IsFirstUsed());
  store.SetUnavailable(false);
  std::this_thread::sleep_for(kApplied);
  cr_assert(!subject.IsFirstUsed());
  store.SetUnavailable(true);
  store.Remove(kEvacuation);
  std::this_thread::sleep_for(kApplied);
  cr_assert(!subject.IsFirstUsed());
  store.SetUnavailable(false);
  cr_assert(WaitFor([&] { return subject.IsFirstUsed(); }));
}

// Guards against requests that wait, or are sent, where an evacuation leaves no
// target.
Test(evacuation_traffic, without_a_target_is_refused_at_once, .timeout = 60) {
  evacuation_fixture subject;
  subject.fleet.first.store.Put(kEvacuation, "{}");
  subject.fleet.first.store.Put("op/evacuate/y", "{}");
  std::this_thread::sleep_for(kApplied);
  const int before = subject.FirstRuns() + subject.other.runs();
  for (const char* path : {"/once/x", "/again/x", "/turn/x"}) {
    const http_response answer =
        Fetch(subject.fleet.first.client, MakeRequest(subject.fleet, 0, path))
            .response;
    cr_assert(answer.status == 503, "%s: %d", path, answer.status);
    cr_assert(!answer.headers.Find("Retry-After").empty());
  }
  cr_assert(subject.FirstRuns() + subject.other.runs() == before);
  cr_assert(subject.ShowsEvacuated(0, 2));
}

// Guards against an effect of a key that names no domain.
Test(evacuation_traffic, an_unknown_domain_has_no_effect, .timeout = 60) {
  evacuation_fixture subject;
  subject.fleet.first.store.Put("op/evacuate/nowhere", "{}");
  subject.fleet.first.store.Put("op/evacuate/", "x");
  std::this_thread::sleep_for(kApplied);
  cr_assert(subject.IsFirstUsed());
  cr_assert(subject.SendAll(5) == 0);
  cr_assert(subject.ShowsEvacuated(0, 0));
}

// Guards against an evacuation that follows a target's address: its record
// decides after a restart at the address.
Test(evacuation_traffic, the_record_of_a_restart_decides, .timeout = 60) {
  evacuation_fixture subject;
  gateway_fixture& gateway = subject.fleet.first;
  gateway.store.Put(kEvacuation, "{}");
  std::this_thread::sleep_for(kApplied);
  const auto restart = [&](const std::string& domain, int born) {
    gateway.store.Put(
        "servers/i-1",
        R"({"service":"s","address":")" + gateway.target.address() +
            R"(","zone":")" + domain +
            R"(","slots":4,"state":"ready","seq":2,"version":"v1","born":)" +
            std::to_string(born) + "}");
  };
  restart("z", 5);
  std::this_thread::sleep_for(kApplied);
  cr_assert(!subject.IsFirstUsed());
  restart("y", 9);
  cr_assert(WaitFor([&] { return subject.IsFirstUsed(); }));
}

// Guards against a gateway that carries a request to an evacuated target for
// another gateway, which doesn't know of the evacuation yet.
Test(evacuation_traffic, no_tunnel_leads_there, .timeout = 60) {
  evacuation_fixture subject;
  gateway_fixture& gateway = subject.fleet.first;
  const auto send = [&] {
    http_client_request request = MakeRequest(subject.fleet, 0, "/again/x");
    request.address = gateway.target.address();
    request.tunnel = gateway_fixture::Settings(0).tunnel_address;
    request.tunnel_name = "i-1";
    return Fetch(gateway.client, request);
  };
  cr_assert(send().response.status == 200);
  gateway.store.Put(kEvacuation, "{}");
  std::this_thread::sleep_for(kApplied);
  const int before = subject.FirstRuns();
  cr_assert(send().failure == http_failure::no_tunnel);
  cr_assert(subject.FirstRuns() == before);
  gateway.store.Remove(kEvacuation);
  cr_assert(WaitFor([&] { return send().response.status == 200; }));
}
