// Tests that a stream stays at the software version that began it, with real
// gateways, turn stores and HTTP, between callers and targets of two versions.
#include <criterion/criterion.h>

#include <atomic>
#include <thread>

#include "gentian_gateway_daemon/history_paths.h"
#include "platform/stream_fixture.h"

using namespace gentian;
using gentian::testing::stream_fixture;
using gentian::testing::stream_target;
using gentian::testing::WaitFor;

using answer = stream_fixture::answer;

// Guards against one answer that joins events of two versions: the target of
// the first version is gone when its stream breaks off.
Test(stream_versions, an_answer_holds_events_of_one_version, .timeout = 60) {
  stream_fixture subject;
  stream_target& first = subject.AddTarget("old", "v1");
  subject.AwaitUse();
  first.HoldAfter(2);
  const int before = first.streams();
  stream_target* second = nullptr;
  std::thread crash([&] {
    WaitFor([&] { return first.streams() > before; });
    second = &subject.AddTarget("new", "v2");
    // The gateway reads the list of targets in the meantime.
    std::this_thread::sleep_for(milliseconds(1'500));
    first.server.Stop();
  });
  const answer broken = subject.Send(subject.Request(0, "r1"));
  crash.join();
  cr_assert(broken.body.find("v2") == std::string::npos, "%s",
            broken.body.c_str());
  cr_assert(!broken.is_whole);
  cr_assert(second->streams() == 0);
}

// Guards against a resumed stream that goes on at another version, also at a
// gateway that has not seen its beginning.
Test(stream_versions, a_resumed_stream_goes_on_at_its_version, .timeout = 60) {
  constexpr std::size_t kGateways = 2;
  stream_fixture subject(kGateways);
  stream_target& first = subject.AddTarget("old", "v1");
  subject.AwaitUse(kGateways);
  first.BreakAfter(2);
  std::vector<std::string> begun;
  for (int i = 0; i < 12; ++i) {
    begun.push_back("b" + std::to_string(i));
    const answer part = subject.Send(subject.Request(i % 2, begun.back()));
    cr_assert(!part.is_whole);
    cr_assert(part.body ==
                  stream_target::Event(1, "v1") + stream_target::Event(2, "v1"),
              "%s", part.body.c_str());
  }
  first.BreakAfter(0);
  stream_target& second = subject.AddTarget("new", "v2");
  cr_assert(WaitFor([&] {
    static int number = 0;
    const std::string id = "n" + std::to_string(++number);
    return subject.Send(subject.Request(0, id)).is_whole &&
           subject.Send(subject.Request(1, id + "'")).is_whole &&
           second.streams() > 1;
  }));
  const std::string rest =
      stream_target::Event(3, "v1") + stream_target::Event(4, "v1");
  for (std::size_t i = 0; i < begun.size(); ++i) {
    // At the gateway that began it, and at the other one.
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
      const answer resumed = subject.Send(subject.Resume(
          gateway, begun[i] + "-" + std::to_string(gateway), begun[i], 2));
      cr_assert(resumed.status == 200, "status %d, %s", resumed.status,
                resumed.body.c_str());
      cr_assert(resumed.is_whole && resumed.body == rest, "%s",
                resumed.body.c_str());
    }
  }
}

// Guards against a guess: a stream whose beginning no store knows may have come
// from either version.
Test(stream_versions, an_unknown_stream_is_not_resumed, .timeout = 60) {
  stream_fixture subject;
  stream_target& first = subject.AddTarget("old", "v1");
  stream_target& second = subject.AddTarget("new", "v2");
  subject.AwaitUse();
  const int before = first.streams() + second.streams();
  const answer refused = subject.Send(subject.Resume(0, "r2", "never-seen", 2));
  cr_assert(refused.status == 503, "%d", refused.status);
  // The caller names no request at all.
  http_client_request unnamed = subject.Request(0, "r3");
  unnamed.headers.Add("Last-Event-Id", "2");
  cr_assert(subject.Send(unnamed).status == 503);
  cr_assert(first.streams() + second.streams() == before);
}

// Guards against a resumed stream that waits for, or is joined with, software
// that has replaced its own.
Test(stream_versions, a_stream_of_gone_software_is_refused, .timeout = 60) {
  stream_fixture subject;
  stream_target& first = subject.AddTarget("old", "v1");
  subject.AwaitUse();
  first.BreakAfter(2);
  subject.Send(subject.Request(0, "r1"));
  stream_target& second = subject.AddTarget("new", "v2");
  subject.fleet.first.store.Remove("servers/old");
  cr_assert(WaitFor([&] {
    static int number = 0;
    subject.Send(subject.Request(0, "n" + std::to_string(++number)));
    return second.streams() > 2;
  }));
  const int before = second.streams();
  const auto began = std::chrono::steady_clock::now();
  const answer refused = subject.Send(subject.Resume(0, "r2", "r1", 2));
  cr_assert(refused.status == 503, "%d %s", refused.status,
            refused.body.c_str());
  cr_assert(std::chrono::steady_clock::now() - began < milliseconds(300));
  cr_assert(second.streams() == before);
}

// Guards against a record of the first target in the way of the one that began
// the stream: the first one refused the request.
Test(stream_versions, a_refused_send_does_not_name_the_version, .timeout = 60) {
  constexpr std::size_t kGateways = 2;
  stream_fixture subject(kGateways);
  stream_target& full = subject.AddTarget("old", "v1");
  stream_target& second = subject.AddTarget("new", "v2");
  subject.AwaitUse(kGateways);
  full.SetOverride([](const std::shared_ptr<http_exchange>& exchange) {
    http_headers headers =
        gentian::testing::fake_target::SealedHeaders(*exchange);
    headers.Add("Not-Run", "1");
    exchange->Respond({503, headers, ""});
    return true;
  });
  second.BreakAfter(2);
  for (int i = 0; i < 12; ++i) {
    const std::string id = "r" + std::to_string(i);
    const answer part = subject.Send(subject.Request(0, id));
    cr_assert(part.body ==
                  stream_target::Event(1, "v2") + stream_target::Event(2, "v2"),
              "%d %s", part.status, part.body.c_str());
    second.BreakAfter(0);
    const answer resumed = subject.Send(subject.Resume(1, id + "-2", id, 2));
    cr_assert(resumed.body ==
                  stream_target::Event(3, "v2") + stream_target::Event(4, "v2"),
              "%d %s", resumed.status, resumed.body.c_str());
    second.BreakAfter(2);
  }
}

// Guards against a gateway that knows one version only, because it was cut off
// or stood still while targets of another one joined: it takes up a stream
// without a record, which may have begun at those.
Test(stream_versions,
     a_stale_list_of_targets_names_no_version,
     .timeout = 120) {
  stream_fixture subject;
  stream_target& first = subject.AddTarget("old", "v1");
  subject.AwaitUse();
  // One version has served for longer than callers wait for a stream.
  cr_assert(WaitFor(
      [&] {
        static int number = 0;
        return subject
                   .Send(subject.Resume(0, "r" + std::to_string(++number),
                                        "never-seen", 2))
                   .status == 200;
      },
      milliseconds(20'000)));
  const answer resumed = subject.Send(subject.Resume(0, "s1", "never-seen", 2));
  cr_assert(resumed.status == 200 && resumed.is_whole);
  const int before = first.streams();
  // The gateway has not read the list since.
  subject.AddTarget("new", "v2");
  const answer refused = subject.Send(subject.Resume(0, "s2", "never-seen", 2));
  cr_assert(refused.status == 503, "%d %s", refused.status,
            refused.body.c_str());
  cr_assert(first.streams() == before);
  // Nor can it say what has joined while it doesn't reach the list.
  subject.fleet.first.store.Remove("servers/new");
  cr_assert(WaitFor(
      [&] {
        static int number = 0;
        return subject
                   .Send(subject.Resume(0, "t" + std::to_string(++number),
                                        "never-seen", 2))
                   .status == 200;
      },
      milliseconds(20'000)));
  const int served = first.streams();
  subject.fleet.first.store.SetUnavailable(true);
  cr_assert(subject.Send(subject.Resume(0, "s3", "never-seen", 2)).status ==
            503);
  cr_assert(first.streams() == served);
}

// Guards against callers that wait for a record of their stream while no store
// can take it.
Test(stream_versions, a_stream_begins_without_stores, .timeout = 60) {
  stream_fixture subject;
  subject.AddTarget("old", "v1");
  subject.AwaitUse();
  subject.KillStore(1);
  subject.KillStore(2);
  const auto began = std::chrono::steady_clock::now();
  const answer whole = subject.Send(subject.Request(0, "r1"));
  cr_assert(whole.is_whole && whole.body == stream_target::Whole("v1"));
  cr_assert(std::chrono::steady_clock::now() - began < milliseconds(500));
}

// Guards against a stream that can't be resumed because one store is away.
Test(stream_versions, one_store_is_enough_to_resume, .timeout = 60) {
  constexpr std::size_t kGateways = 2;
  constexpr int kStreams = 6;
  stream_fixture subject(kGateways);
  stream_target& target = subject.AddTarget("old", "v1");
  subject.AwaitUse(kGateways);
  target.BreakAfter(2);
  for (int i = 0; i < kStreams; ++i) {
    subject.Send(subject.Request(0, "r" + std::to_string(i)));
  }
  target.BreakAfter(0);
  subject.KillStore(1);
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "r" + std::to_string(i);
    const answer resumed = subject.Send(subject.Resume(1, id + "-2", id, 2));
    cr_assert(resumed.body ==
                  stream_target::Event(3, "v1") + stream_target::Event(4, "v1"),
              "%d %s", resumed.status, resumed.body.c_str());
  }
}

// Guards against a search that floods stores which can't tell: its rounds
// follow one another, and each asks every store once.
Test(stream_versions, a_search_asks_each_store_once_a_round, .timeout = 60) {
  stream_fixture subject(1, 0);
  std::atomic<int> asked{0};
  http_server store(subject.fleet.first.pool,
                    [&](const std::shared_ptr<http_exchange>& exchange) {
                      asked += exchange->request().Path() == kReadOriginPath;
                      exchange->Respond({503, http_headers(), ""});
                    });
  cr_assert(!Failed(store.Listen("127.0.0.1:0")));
  for (const char* host : {"store-1", "store-2"}) {
    subject.fleet.first.store.Put(
        RunningStoreKey(host),
        EncodeTurnStore({host, host, store.address(), "1", false}));
  }
  subject.AddTarget("old", "v1");
  subject.AwaitUse();
  cr_assert(WaitFor([&] {
    return subject.fleet.Metrics(0).find("turn_stores_accepting 2\n") !=
           std::string::npos;
  }));
  cr_assert(subject.Send(subject.Resume(0, "r1", "unknown", 2)).status == 503);
  // A search of 500 ms has nine rounds at most, 60 ms apart.
  std::this_thread::sleep_for(milliseconds(300));
  cr_assert(asked >= 2 && asked <= 18, "%d", asked.load());
}
