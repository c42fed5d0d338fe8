// Tests homes: regions in which the requests of a route or team may be served.
#include <criterion/criterion.h>

#include <atomic>
#include <thread>

#include "platform/gateway_fleet.h"

using namespace gentian;
using gentian::testing::fake_metadata_store;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::gateway_fleet;
using gentian::testing::WaitFor;

namespace {

// Far more than the store's fake takes to show a change.
constexpr milliseconds kApplied{700};

void Answer(const std::shared_ptr<http_exchange>& exchange, int) {
  if (exchange->request().Path() != "/kept/x") {
    fake_target::RespondSealed(exchange, "answer");
    return;
  }
  http_headers headers = fake_target::SealedHeaders(*exchange);
  headers.Add("Content-Type", "text/event-stream");
  exchange->Respond({200, headers, "id: 1\ndata: a\n\n"});
}

/** Two gateways and a target in the region south, one target each in north and
    in a failure domain without a region. */
class homes_fixture {
 public:
  homes_fixture()
      : fleet(2, Answer), north(pool, Answer), nowhere(pool, Answer) {
    Register("i-2", north, "y");
    Register("i-3", nowhere, "unknown");
    cr_assert(WaitFor([this] {
      SendAll(1);
      return north.runs() > 0 && nowhere.runs() > 0;
    }));
  }
  ~homes_fixture() {
    fleet.StopPools();
    pool.Stop();
  }

  void Register(const std::string& id,
                const fake_target& target,
                const std::string& domain) {
    fleet.first.store.Put(
        "servers/" + id,
        R"({"service":"s","address":")" + target.address() + R"(","zone":")" +
            domain +
            R"(","slots":4,"state":"ready","seq":1,"born":1,"version":"v1"})");
  }

  /** Sets the homes of all routes and of the first team. */
  void SetHomes(const json& of_routes, const json& of_team) {
    const std::string before = fleet.first.store.Value("op/config");
    json configuration = json::parse(before);
    configuration["version"] = configuration["version"].get<int>() + 1;
    for (json& route : configuration["routes"]) {
      route["allowed_regions"] = of_routes;
    }
    configuration["tenants"][0]["allowed_regions"] = of_team;
    fleet.first.store.Put("op/config", configuration.dump());
    std::this_thread::sleep_for(kApplied);
  }

  http_response Send(std::size_t gateway, const std::string& path) {
    static std::atomic<int> number{0};
    const std::string id = std::to_string(++number);
    http_client_request request = fleet.Request(gateway, path);
    request.headers = http_headers();
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", "r" + id);
    request.headers.Add("X-Api-Key", "k");
    request.headers.Add("Deadline-Ms", "2000");
    if (path == "/turn/x") {
      request.headers.Add("Program-Id", "p" + std::to_string(number % 7));
      request.headers.Add("Token-Budget", "1000000");
      request.headers.Add("Token-Count", "10,10");
    }
    return Fetch(fleet.first.client, request).response;
  }

  /** Sends requests of all kinds to both gateways.

      @returns  those that were not answered with 200 */
  int SendAll(int rounds) {
    int failed = 0;
    for (int i = 0; i < rounds; ++i) {
      for (const char* path : {"/once/x", "/again/x", "/turn/x"}) {
        failed +=
            Send(static_cast<std::size_t>(i % 2), path).status == 200 ? 0 : 1;
      }
    }
    return failed;
  }

  int Runs() const {
    return fleet.first.target.runs() + north.runs() + nowhere.runs();
  }

  io_pool pool{1};
  gateway_fleet fleet;
  fake_target north;
  fake_target nowhere;
};

}  // namespace

// Guards against requests, of turns of programs too, that run in a region that
// is no home of both their route and their team.
Test(homes, requests_run_in_homes_only, .timeout = 60) {
  homes_fixture subject;
  subject.SetHomes({"north"}, json::array());
  const auto expect_north_only = [&] {
    const int before = subject.north.runs();
    const int all = subject.Runs();
    cr_assert(subject.SendAll(20) == 0);
    cr_assert(subject.north.runs() - before == 60);
    cr_assert(subject.Runs() - all == 60, "%d runs", subject.Runs() - all);
  };
  expect_north_only();
  subject.SetHomes({"north", "south"}, {"north"});
  expect_north_only();
  subject.SetHomes(json::array(), json::array());
  const int elsewhere = subject.Runs() - subject.north.runs();
  cr_assert(subject.SendAll(20) == 0);
  cr_assert(subject.Runs() - subject.north.runs() > elsewhere);
}

// Guards against a refusal after a run, and against one that waits, where no
// target is in a home.
Test(homes, without_a_target_there_is_refused_at_once, .timeout = 60) {
  homes_fixture subject;
  for (const json& homes : {json{"west"}, json{""}}) {
    subject.SetHomes(homes, json::array());
    const int before = subject.Runs();
    for (const char* path : {"/once/x", "/again/x", "/turn/x"}) {
      const http_response answer = subject.Send(0, path);
      cr_assert(answer.status == 503, "%s: %d", path, answer.status);
      cr_assert(!answer.headers.Find("Retry-After").empty());
    }
    cr_assert(subject.Runs() == before);
  }
  // Lists that contradict each other leave nothing.
  subject.SetHomes({"north"}, {"south"});
  cr_assert(subject.Send(0, "/once/x").status == 503);
  cr_assert(subject.fleet.Metrics(0).find("reason=\"home_unavailable\"} 7") !=
            std::string::npos);
}

// Guards against an evacuation that sends requests out of their homes.
Test(homes, an_evacuation_leaves_them_in_force, .timeout = 60) {
  homes_fixture subject;
  subject.SetHomes({"north"}, json::array());
  subject.fleet.first.store.Put("op/evacuate/y", "{}");
  std::this_thread::sleep_for(kApplied);
  const int before = subject.Runs();
  cr_assert(subject.Send(0, "/once/x").status == 503);
  cr_assert(subject.Send(0, "/turn/x").status == 503);
  cr_assert(subject.Runs() == before);
}

// Guards against turns that are kept at a host which is neither in a home nor
// in the caller's region: of four stores, two may have them.
Test(homes, turns_are_kept_in_homes_or_at_the_caller, .timeout = 60) {
  homes_fixture subject;
  const auto store = [](const std::shared_ptr<http_exchange>& exchange, int) {
    exchange->Respond({200, http_headers(), ""});
  };
  fake_target at_home(subject.pool, store);
  fake_target at_caller(subject.pool, store);
  fake_target west(subject.pool, store);
  fake_target unknown(subject.pool, store);
  const std::vector<std::pair<std::string, const fake_target*>> stores = {
      {"y", &at_home}, {"z", &at_caller}, {"x", &west}, {"u", &unknown}};
  for (const auto& [domain, server] : stores) {
    subject.fleet.first.store.Put(
        RunningStoreKey("store-" + domain),
        EncodeTurnStore(
            {"store-" + domain, domain, server->address(), "1", false}));
  }
  std::this_thread::sleep_for(milliseconds(1'500));
  constexpr int kTurns = 12;
  for (int i = 0; i < kTurns; ++i) {
    cr_assert(subject.Send(0, "/kept/x").status == 200);
  }
  cr_assert(west.runs() > 0 && unknown.runs() > 0);
  subject.SetHomes({"north"}, json::array());
  const int elsewhere = west.runs() + unknown.runs();
  const int home = at_home.runs();
  for (int i = 0; i < kTurns; ++i) {
    cr_assert(subject.Send(0, "/kept/x").status == 200);
  }
  cr_assert(west.runs() + unknown.runs() == elsewhere);
  cr_assert(at_home.runs() >= home + kTurns);
}

// Guards against a directory that leads callers to gateways outside of the
// homes, and against one that leads them to none.
Test(homes, the_directory_names_gateways_there, .timeout = 60) {
  homes_fixture subject;
  fake_metadata_store& store = subject.fleet.first.store;
  for (const char* domain : {"y", "x"}) {
    member_record other;
    other.host = std::string("other-") + domain;
    other.failure_domain = domain;
    other.caller_address = std::string("10.0.0.1:") + domain;
    other.peer_address = "127.0.0.1:1";
    store.Put(MemberKey(other.host), EncodeMember(other));
  }
  const auto named = [&](const std::string& query) {
    http_client_request request;
    request.address = subject.fleet.first.directory_address;
    request.target = "/resolve?name=" + query;
    const http_response answer =
        Fetch(subject.fleet.first.client, request).response;
    return answer.status == 200 ? json::parse(answer.body).at("addresses")
                                : json::array();
  };
  cr_assert(WaitFor([&] { return named("h").size() == 4; }));
  subject.SetHomes({"north"}, json::array());
  cr_assert(named("h") == json{"10.0.0.1:y"});
  cr_assert(named("h&region=west").size() == 2);
  cr_assert(named("h&zone=x").size() == 2);
  cr_assert(named("h&region=south").size() == 3);
  cr_assert(named("unknown").size() == 4);
  subject.SetHomes({"nowhere"}, json::array());
  cr_assert(named("h").size() == 4);
}
