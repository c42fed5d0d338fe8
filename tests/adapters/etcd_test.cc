#include <criterion/criterion.h>

#include <future>

#include "gentian_adapters/etcd_codec.h"
#include "gentian_adapters/gentian_adapters.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

using status = kv_answer::status;
constexpr milliseconds kDeadline{5'000};

// The adapter against the fake service over loopback.
struct service_fixture {
  service_fixture() {
    cr_assert(!Failed(http.Listen("127.0.0.1:0")));
    adapter = std::make_unique<etcd_key_value_store>(pool, http.address());
  }
  ~service_fixture() {
    http.Stop();
    pool.Stop();
  }

  std::future<kv_answer> Start(const kv_operation& operation) const {
    auto done = std::make_shared<std::promise<kv_answer>>();
    adapter->Call(operation, kDeadline, [done](kv_answer answer) {
      done->set_value(std::move(answer));
    });
    return done->get_future();
  }

  kv_answer Call(const kv_operation& operation) const {
    return Start(operation).get();
  }

  io_pool pool{2};
  key_value_fake values;
  etcd_fake_server service{pool, values};
  http_server http{pool,
                   [this](const std::shared_ptr<http_exchange>& exchange) {
                     service.Serve(exchange);
                   }};
  std::unique_ptr<etcd_key_value_store> adapter;
};

}  // namespace

// Guards against two writers that both believe that they have won.
Test(etcd, compare_and_swap_has_one_winner) {
  service_fixture fixture;
  const std::string binary("\0\xff value", 8);
  const kv_answer created =
      fixture.Call(kv_compare_and_swap{"/a", 0, binary, 0});
  cr_assert(created.outcome == status::ok);
  const std::uint64_t version = created.entries.at(0).version;
  const kv_answer second = fixture.Call(kv_compare_and_swap{"/a", 0, "b", 0});
  cr_assert(second.outcome == status::conflict);
  cr_assert(second.entries.at(0).value == binary);
  cr_assert(second.entries.at(0).version == version);
  const kv_answer changed =
      fixture.Call(kv_compare_and_swap{"/a", version, "c", 0});
  cr_assert(changed.outcome == status::ok);
  cr_assert(fixture.Call(kv_delete{"/a", version}).outcome == status::conflict);
  cr_assert(fixture.Call(kv_get{"/a"}).entries.at(0).value == "c");
  const std::uint64_t newest = changed.entries.at(0).version;
  cr_assert(fixture.Call(kv_delete{"/a", newest}).outcome == status::ok);
  cr_assert(fixture.Call(kv_get{"/a"}).entries.empty());
}

// Guards against a batch that is carried out in part.
Test(etcd, a_batch_is_written_as_a_whole_or_not_at_all) {
  service_fixture fixture;
  const kv_answer created =
      fixture.Call(kv_write_batch{{{"/a", 0, "1", 0}, {"/b", 0, "2", 0}}});
  cr_assert(created.outcome == status::ok);
  const std::uint64_t version = created.entries.at(0).version;
  cr_assert(created.entries.at(1).version == version);
  const kv_answer conflict = fixture.Call(kv_write_batch{
      {{"/a", version, "3", 0}, {"/b", 0, "4", 0}, {"/c", 0, "5", 0}}});
  cr_assert(conflict.outcome == status::conflict);
  cr_assert(conflict.entries.size() == 2);
  cr_assert(fixture.Call(kv_get{"/a"}).entries.at(0).value == "1");
  cr_assert(fixture.Call(kv_get{"/b"}).entries.at(0).version == version);
  cr_assert(fixture.Call(kv_get{"/c"}).entries.empty());
}

// Guards against prefixes that match too much or too little.
Test(etcd, list_returns_exactly_the_keys_with_the_prefix) {
  service_fixture fixture;
  for (const char* key : {"/a", "/a/1", "/a/2", "/a0", "/b"}) {
    fixture.Call(kv_compare_and_swap{key, 0, key, 0});
  }
  const kv_answer found = fixture.Call(kv_list{"/a/"});
  cr_assert(found.entries.size() == 2);
  cr_assert(found.entries[0].key == "/a/1" && found.entries[1].key == "/a/2");
}

// Guards against keys that outlive their lease, and against a daemon that
// does not notice that its lease has ended.
Test(etcd, key_ends_with_its_lease) {
  service_fixture fixture;
  const std::uint64_t lease =
      fixture.Call(kv_grant_lease{milliseconds(800)}).lease;
  cr_assert(lease != 0);
  fixture.Call(kv_compare_and_swap{"/a", 0, "x", lease});
  const kv_answer renewed = fixture.Call(kv_renew_lease{lease});
  cr_assert(renewed.outcome == status::ok);
  cr_assert(
      WaitFor([&] { return fixture.Call(kv_get{"/a"}).entries.empty(); }));
  cr_assert(fixture.Call(kv_renew_lease{lease}).outcome ==
            status::lease_expired);
  cr_assert(fixture.Call(kv_compare_and_swap{"/b", 0, "x", lease}).outcome ==
            status::lease_expired);
}

// Guards against changes that a watch misses: before, while and after it is
// set up.
Test(etcd, watch_sees_past_and_future_changes) {
  service_fixture fixture;
  const std::uint64_t start = fixture.Call(kv_get{"/w/1"}).revision;
  fixture.Call(kv_compare_and_swap{"/w/1", 0, "a", 0});
  const kv_answer past = fixture.Call(kv_watch{"/w/", start});
  cr_assert(past.outcome == status::ok);
  cr_assert(past.entries.at(0).value == "a");
  cr_assert(past.revision > start);
  auto waiting = fixture.Start(kv_watch{"/w/", past.revision});
  fixture.Call(kv_compare_and_swap{"/other", 0, "x", 0});
  const std::uint64_t version = past.entries.at(0).version;
  fixture.Call(kv_delete{"/w/1", version});
  const kv_answer next = waiting.get();
  cr_assert(next.entries.empty());
  cr_assert(next.deleted.at(0) == "/w/1");
  const kv_answer none =
      fixture.Call(kv_watch{"/w/", next.revision, milliseconds(100)});
  cr_assert(none.outcome == status::ok && none.entries.empty());
  cr_assert(none.revision == next.revision);
}

// Guards against a watch that goes on after a revision that was dropped.
Test(etcd, watch_of_a_dropped_revision_is_compacted) {
  service_fixture fixture;
  for (int i = 0; i < 10'500; ++i) {
    fixture.values.Put("/w/1", "x", 0, std::nullopt);
  }
  cr_assert(fixture.Call(kv_watch{"/w/", 5}).outcome == status::compacted);
}

// Guards against a lost answer that is taken for a failed write.
Test(etcd, lost_answer_is_reported_as_no_answer) {
  service_fixture fixture;
  fixture.service.LoseAnswers(1);
  cr_assert(fixture.Call(kv_compare_and_swap{"/a", 0, "x", 0}).outcome ==
            status::no_answer);
  cr_assert(fixture.Call(kv_get{"/a"}).entries.at(0).value == "x");
}

// Guards against handlers that never run while the service is away.
Test(etcd, outage_ends_calls_and_watches) {
  service_fixture fixture;
  auto watch = fixture.Start(kv_watch{"/w/", 1});
  cr_assert(WaitFor([&] { return fixture.service.Calls()["/v3/watch"] == 1; }));
  fixture.service.SetAvailable(false);
  cr_assert(watch.get().outcome == status::no_answer);
  cr_assert(fixture.Call(kv_get{"/a"}).outcome == status::no_answer);
  fixture.http.Stop();
  cr_assert(fixture.Call(kv_get{"/a"}).outcome == status::not_sent);
}

// Guards against wrong sizes at the padding.
Test(etcd_codec, base64_round_trip) {
  for (std::size_t size = 0; size < 70; ++size) {
    std::string bytes(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
      bytes[i] = static_cast<char>(i * 37);
    }
    cr_assert(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  cr_assert(EndOfPrefix("a\xff") == "b");
  cr_assert(EndOfPrefix("\xff") == std::string(1, '\0'));
}

// Guards against answers of the service that end the process, or a call that
// never ends: nested deeply, of many values, and of unexpected shapes.
Test(etcd, odd_answers_are_no_answers, .timeout = 120) {
  constexpr std::size_t kDepth = 1'000'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string many;
  for (std::size_t i = 0; i < kDepth + kDepth / 4; ++i) {
    many += ",{}";
  }
  for (const auto& [code, body] : std::vector<std::pair<int, std::string>>{
           {200, R"({"kvs":)" + nested + "}"},
           {200, R"({"header":)" + nested + "}"},
           {200, R"({"kvs":5,"header":{"revision":"1"}})"},
           {200, R"({"kvs":[{})" + many + "]}"},
           {404, R"({"error":5})"},
           {404, R"({"error":)" + nested + "}"},
           {404, "[]"}}) {
    io_pool pool(1);
    http_server server(
        pool, [answer = http_response{code, {}, body}](const auto& exchange) {
          exchange->Respond(answer);
        });
    cr_assert(!Failed(server.Listen("127.0.0.1:0")));
    etcd_key_value_store adapter(pool, server.address());
    std::promise<kv_answer> done;
    adapter.Call(kv_list{"a", false}, kDeadline, [&done](kv_answer answer) {
      done.set_value(std::move(answer));
    });
    auto answer = done.get_future();
    cr_assert(answer.wait_for(2 * kDeadline) == std::future_status::ready,
              "%d %s", code, body.substr(0, 40).c_str());
    cr_assert(answer.get().outcome != status::ok, "%d %s", code,
              body.substr(0, 40).c_str());
    server.Stop();
    pool.Stop();
  }
}

// The same for watches, whose lines come in parts.
Test(etcd, odd_lines_of_a_watch_are_no_answers, .timeout = 120) {
  constexpr std::size_t kDepth = 200'000;
  for (const std::string& line :
       {R"({"result":{"events":)" + std::string(kDepth, '[') +
            std::string(kDepth, ']') + "}}",
        std::string(R"({"result":{"created":5}})"),
        std::string(R"({"result":{"events":[{"kv":{},"type":5}]}})"),
        std::string("[]")}) {
    io_pool pool(1);
    http_server server(pool, [&line](const auto& exchange) {
      exchange->StartChunks({});
      exchange->SendChunk(line);
      exchange->SendChunk("\n");
    });
    cr_assert(!Failed(server.Listen("127.0.0.1:0")));
    etcd_key_value_store adapter(pool, server.address());
    std::promise<kv_answer> done;
    kv_watch watch;
    watch.prefix = "a";
    watch.wait = kDeadline;
    adapter.Call(watch, 2 * kDeadline, [&done](kv_answer answer) {
      done.set_value(std::move(answer));
    });
    auto answer = done.get_future();
    cr_assert(answer.wait_for(3 * kDeadline) == std::future_status::ready, "%s",
              line.substr(0, 40).c_str());
    cr_assert(answer.get().outcome == status::no_answer, "%s",
              line.substr(0, 40).c_str());
    server.Stop();
    pool.Stop();
  }
}
