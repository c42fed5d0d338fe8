// Tests targets that are cold after a start.
#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "platform/gateway_fleet.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::gateway_fleet;
using gentian::testing::http_outcome;
using gentian::testing::PostRequest;
using gentian::testing::ProcessAddress;
using gentian::testing::WaitFor;

namespace {

using test_clock = std::chrono::steady_clock;

// Requests of one second that all gateways together may send to a cold target:
// 26 x 1.5 + 5.
constexpr std::size_t kBound = 44;
// A gateway paces a target only when the others know the same members.
constexpr milliseconds kHandover{1'600};

/** Arrivals of requests at a target. Thread-safe. */
class arrival_log {
 public:
  void Add() {
    const std::lock_guard<std::mutex> lock(mutex_);
    arrivals_.push_back(test_clock::now());
  }

  std::size_t CountAfter(test_clock::time_point begin) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(arrivals_.begin(), arrivals_.end(),
                      [begin](auto arrival) { return arrival >= begin; }));
  }

  /** The most requests of any second between two moments. */
  std::size_t MostInASecond(test_clock::time_point begin,
                            test_clock::time_point end) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<test_clock::time_point> seen;
    std::copy_if(
        arrivals_.begin(), arrivals_.end(), std::back_inserter(seen),
        [=](auto arrival) { return arrival >= begin && arrival <= end; });
    std::sort(seen.begin(), seen.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < seen.size(); ++last) {
      while (seen[last] - seen[first] > milliseconds(1'000)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

 private:
  std::mutex mutex_;
  std::vector<test_clock::time_point> arrivals_;
};

// Gives the service "s" a cold time and a rate for it.
void ConfigureCold(gateway_fixture& fixture, double cold_s) {
  json configuration = json::parse(fixture.store.Value("op/config"));
  configuration["version"] = ++fixture.version;
  configuration["services"][0]["cold_start_s"] = cold_s;
  configuration["services"][0]["cold_per_s"] = 26.0;
  fixture.store.Put("op/config", configuration.dump());
}

// Registers a target that has started just now.
void RegisterCold(gateway_fixture& fixture,
                  const std::string& id,
                  const json& cold_left_ms) {
  json record =
      json::parse(gateway_fixture::TargetEntry(fixture.target.address(), "v1"));
  record["born"] = 2;
  record["cold_left_ms"] = cold_left_ms;
  fixture.store.Put("servers/" + id, record.dump());
}

/** Callers that send to some gateways without a pause. */
class steady_load {
 public:
  steady_load(gateway_fleet& fleet, const std::vector<std::size_t>& gateways)
      : fleet_(fleet) {
    constexpr int kThreads = 2;
    for (const std::size_t gateway : gateways) {
      for (int i = 0; i < kThreads; ++i) {
        callers_.emplace_back([this, gateway] { Run(gateway); });
      }
    }
  }

  ~steady_load() { End(); }

  void End() {
    ends_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
  }

  int served() const { return served_; }
  int refused() const { return refused_; }
  int unexpected() const { return unexpected_; }

 private:
  void Run(std::size_t gateway) {
    while (!ends_) {
      const http_response answer =
          Fetch(fleet_.first.client, fleet_.Request(gateway, "/again/x"))
              .response;
      if (answer.status == 200) {
        ++served_;
      } else if (answer.status == 503 &&
                 !answer.headers.Find("Retry-After").empty()) {
        ++refused_;
      } else {
        ++unexpected_;
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  gateway_fleet& fleet_;
  std::atomic<bool> ends_{false};
  std::atomic<int> served_{0};
  std::atomic<int> refused_{0};
  std::atomic<int> unexpected_{0};
  std::vector<std::thread> callers_;
};

fake_target::request_handler CountingTarget(arrival_log& arrivals) {
  return [&arrivals](const std::shared_ptr<http_exchange>& exchange, int) {
    arrivals.Add();
    fake_target::RespondSealed(exchange, "whole");
  };
}

// The index of the gateway that paces a target.
std::size_t PacerOf(gateway_fleet& fleet, const std::string& target) {
  std::map<std::string, member_record> members;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const std::string host = i == 0 ? "host" : "host-" + std::to_string(i);
    members[MemberKey(host)].host = host;
  }
  const std::string pacer =
      OwnerOf("limit " + target, members, [](const auto&) {
        return true;
      })->host;
  return pacer == "host" ? 0 : std::stoul(pacer.substr(pacer.find('-') + 1));
}

}  // namespace

// Guards against a cold target that crashes because several gateways send it
// more than it takes, and against one that gets nothing until it is warm.
Test(cold_target, gateways_together_keep_to_the_bound, .timeout = 60) {
  constexpr milliseconds kCold{4'000};
  arrival_log arrivals;
  gateway_fleet fleet(3, CountingTarget(arrivals));
  ConfigureCold(fleet.first, 4.0);
  std::this_thread::sleep_for(kHandover);
  RegisterCold(fleet.first, "i-1", kCold.count());
  const auto ends = test_clock::now() + kCold;
  std::this_thread::sleep_for(milliseconds(1'000));
  steady_load load(fleet, {0, 1, 2});
  std::this_thread::sleep_until(ends + milliseconds(2'500));
  const auto warm = test_clock::now();
  std::this_thread::sleep_for(milliseconds(1'000));
  load.End();
  fleet.StopPools();
  const std::size_t most = arrivals.MostInASecond({}, ends);
  const std::size_t warm_count = arrivals.CountAfter(warm);
  cr_assert(most <= kBound, "%zu", most);
  // The rate is used.
  cr_assert(most >= 13, "%zu", most);
  cr_assert(load.refused() > 0 && load.unexpected() == 0, "%d, %d",
            load.refused(), load.unexpected());
  // The limit ends.
  cr_assert(warm_count > 104, "%zu", warm_count);
}

// Guards against gateways that go on to send as much as before to a target that
// becomes cold under load, or restarts with the same ID at the same address.
Test(cold_target, becomes_cold_under_load, .timeout = 60) {
  constexpr milliseconds kCold{4'000};
  constexpr milliseconds kListingTime{1'000};
  arrival_log arrivals;
  gateway_fleet fleet(3, CountingTarget(arrivals));
  ConfigureCold(fleet.first, 4.0);
  std::this_thread::sleep_for(kHandover);
  steady_load load(fleet, {0, 1, 2});
  std::this_thread::sleep_for(milliseconds(1'000));
  const auto restarted = test_clock::now();
  RegisterCold(fleet.first, "i-1", kCold.count());
  std::this_thread::sleep_until(restarted + kCold);
  load.End();
  fleet.StopPools();
  const std::size_t before =
      arrivals.CountAfter({}) - arrivals.CountAfter(restarted);
  const std::size_t most =
      arrivals.MostInASecond(restarted + kListingTime, restarted + kCold);
  cr_assert(before > kBound, "%zu", before);
  cr_assert(most <= kBound && most >= 13, "%zu", most);
  cr_assert(load.unexpected() == 0, "%d", load.unexpected());
}

// Guards against two gateways that pace a target at the same time after one of
// them was lost, and against a target that gets nothing from then on.
Test(cold_target, keeps_to_the_bound_when_its_pacer_dies, .timeout = 60) {
  constexpr milliseconds kCold{10'000};
  arrival_log arrivals;
  gateway_fleet fleet(4, CountingTarget(arrivals));
  std::string target = "i-2";
  for (int i = 3; PacerOf(fleet, target) == 0; ++i) {
    target = "i-" + std::to_string(i);
  }
  const std::size_t pacer = PacerOf(fleet, target);
  ConfigureCold(fleet.first, 10.0);
  std::this_thread::sleep_for(kHandover);
  RegisterCold(fleet.first, target, kCold.count());
  fleet.first.store.Remove("servers/i-1");
  const auto ends = test_clock::now() + kCold;
  std::this_thread::sleep_for(milliseconds(1'000));
  const auto began = test_clock::now();
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (i != pacer) {
      others.push_back(i);
    }
  }
  steady_load load(fleet, others);
  std::this_thread::sleep_for(milliseconds(1'500));
  fleet.Kill(pacer);
  std::this_thread::sleep_for(milliseconds(1'000));
  fleet.first.store.Remove(MemberKey("host-" + std::to_string(pacer)));
  const auto removed = test_clock::now();
  std::this_thread::sleep_until(ends - milliseconds(500));
  load.End();
  const std::size_t most = arrivals.MostInASecond(began, ends);
  const std::size_t at_once =
      arrivals.CountAfter(removed) -
      arrivals.CountAfter(removed + milliseconds(1'000));
  const std::size_t later = arrivals.CountAfter(removed + milliseconds(2'500));
  fleet.StopPools();
  cr_assert(most <= kBound, "%zu", most);
  cr_assert(at_once == 0, "%zu", at_once);
  cr_assert(later >= 13, "%zu", later);
  cr_assert(load.unexpected() == 0, "%d", load.unexpected());
}

// Guards against a gateway that takes a target for warm until the next listing
// although an answer has said that it is cold.
Test(cold_target, an_answer_says_that_a_target_is_cold, .timeout = 60) {
  gateway_fleet fleet(
      2, [](const std::shared_ptr<http_exchange>& exchange, int) {
        http_headers headers = fake_target::SealedHeaders(*exchange);
        headers.Add("Cold-Ms", "2500");
        exchange->Respond({200, headers, "whole"});
      });
  ConfigureCold(fleet.first, 3.0);
  std::this_thread::sleep_for(kHandover);
  const auto is_cold = [&fleet](std::size_t gateway) {
    return fleet.Metrics(gateway).find("cold_targets 1") != std::string::npos;
  };
  cr_assert(!is_cold(0) && !is_cold(1));
  cr_assert(
      Fetch(fleet.first.client, fleet.Request(0, "/again/x")).response.status ==
      200);
  cr_assert(is_cold(0));
  fleet.StopPools();
}

// Guards against a malformed value that ends the process, that counts as warm,
// or that keeps a target cold for good.
Test(cold_target, malformed_values_end_with_the_cold_time, .timeout = 60) {
  arrival_log arrivals;
  gateway_fleet fleet(1, CountingTarget(arrivals));
  ConfigureCold(fleet.first, 2.0);
  std::this_thread::sleep_for(kHandover);
  const auto began = test_clock::now();
  const std::vector<json> values = {-1, "x", 1e300, json::array(), 99'999'999};
  std::size_t next = 0;
  const auto is_cold = [&fleet] {
    return fleet.first.Gauge("cold_targets") == 1;
  };
  RegisterCold(fleet.first, "i-1", values[next++]);
  cr_assert(WaitFor(is_cold));
  // A new version comes every 800 ms, as a target renews its record. The rate
  // rises for two seconds after the cold time of two seconds.
  constexpr milliseconds kPause{800};
  cr_assert(WaitFor(
      [&] {
        if (next < values.size() &&
            test_clock::now() - began >= kPause * static_cast<int>(next)) {
          RegisterCold(fleet.first, "i-1", values[next++]);
        }
        return !is_cold();
      },
      milliseconds(12'000)));
  cr_assert(next == values.size());
  cr_assert(test_clock::now() - began >= milliseconds(3'900));
  // The last version alone would keep it cold until 7.2 s.
  cr_assert(test_clock::now() - began < milliseconds(7'000));
  fleet.StopPools();
}

// Guards against a gateway that grants any rate because it has not learnt yet
// that the target is cold, or that doesn't know the target at all, and against
// damaged values in the question of another gateway.
Test(cold_target, a_pacer_believes_a_gateway_that_knows_more, .timeout = 60) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "whole");
      });
  const auto take = [&subject](const std::string& target,
                               const std::string& cold_rate) {
    return Fetch(subject.client,
                 PostRequest(subject.peer_address, "/limits/take",
                             R"({"max_wait_ms":0,"target":")" + target +
                                 R"(","cold_rate":)" + cold_rate + "}"))
        .response;
  };
  cr_assert(WaitFor([&subject] { return subject.Gauge("members") == 1; }));
  std::this_thread::sleep_for(kHandover);
  for (const char* target : {"i-1", "i-unknown"}) {
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
      const http_response answer = take(target, "10");
      cr_assert(answer.status == 200);
      granted += json::parse(answer.body).at("granted").get<bool>() ? 1 : 0;
    }
    cr_assert(granted > 0 && granted < 50, "%s: %d", target, granted);
  }
  cr_assert(take("i-1", R"("x")").status == 400);
  cr_assert(take("i-1", "[]").status == 400);
  for (const char* odd : {"-5", "1e300", "0"}) {
    cr_assert(take("i-1", odd).status == 200, "%s", odd);
  }
}

// Guards against a gateway that is cut off from the key-value service and goes
// on to grant permits when another one paces the target already.
Test(cold_target, a_pacer_with_an_old_list_of_members_stops, .timeout = 60) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "whole");
      });
  const auto is_granted = [&subject] {
    const http_response answer =
        Fetch(subject.client,
              PostRequest(subject.peer_address, "/limits/take",
                          R"({"max_wait_ms":0,"target":"i-1","cold_rate":50})"))
            .response;
    return json::parse(answer.body).at("granted").get<bool>();
  };
  cr_assert(WaitFor([&subject] { return subject.Gauge("members") == 1; }));
  cr_assert(WaitFor(is_granted));
  subject.store.SetUnavailable(true);
  std::this_thread::sleep_for(kHandover);
  for (int i = 0; i < 10; ++i) {
    cr_assert(!is_granted());
    std::this_thread::sleep_for(milliseconds(50));
  }
  subject.store.SetUnavailable(false);
  cr_assert(WaitFor(is_granted));
}

// Guards against asking gateways of the build before for permits: they would
// grant any number. Dead gateways of this build are asked in vain.
Test(cold_target, is_paced_by_a_gateway_that_knows_of_it, .timeout = 60) {
  for (const bool others_know : {false, true}) {
    gateway_fixture subject(
        [](const std::shared_ptr<http_exchange>& exchange, int) {
          fake_target::RespondSealed(exchange, "whole");
        });
    const std::string nobody = ProcessAddress(1);
    std::map<std::string, std::string> others;
    for (int i = 0; i < 1'000; ++i) {
      member_record other{"other-" + std::to_string(i), "z", "", nobody, false};
      other.protocol = static_cast<int>(
          others_know ? peer_protocol::latest : peer_protocol::framed_tunnels);
      others[MemberKey(other.host)] = EncodeMember(other);
    }
    subject.store.PutAll(others);
    ConfigureCold(subject, 20.0);
    RegisterCold(subject, "i-1", 20'000);
    cr_assert(WaitFor([&subject] {
      return subject.Gauge("members") == 1'001 &&
             subject.Gauge("cold_targets") == 1;
    }));
    std::this_thread::sleep_for(kHandover);
    http_client_request request = subject.Request("/again/x");
    request.headers = http_headers();
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", "r");
    request.headers.Add("X-Api-Key", "k2");
    int served = 0;
    for (int i = 0; i < 20; ++i) {
      served += Fetch(subject.client, request).response.status == 200 ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(50));
    }
    cr_assert((served == 0) == others_know, "%d, %d", served, others_know);
  }
}

// Guards against changes for services without a rate for cold targets.
Test(cold_target, without_a_rate_nothing_changes, .timeout = 60) {
  arrival_log arrivals;
  gateway_fleet fleet(2, CountingTarget(arrivals));
  std::this_thread::sleep_for(kHandover);
  RegisterCold(fleet.first, "i-1", 60'000);
  std::this_thread::sleep_for(milliseconds(1'000));
  cr_assert(fleet.first.Gauge("cold_targets") <= 0);
  for (int i = 0; i < 100; ++i) {
    cr_assert(Fetch(fleet.first.client, fleet.Request(1, "/again/x"))
                  .response.status == 200);
  }
  fleet.StopPools();
}
