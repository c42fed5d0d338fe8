#include <criterion/criterion.h>

#include <future>

#include "platform/platform.h"
#include "platform/platform_fakes.h"

using namespace gentian;

namespace {

json Event(const char* key, const char* value, int revision) {
  return {{"key", key}, {"value", EncodeBase64(value)}, {"rev", revision}};
}

kv_answer Call(const http_server& server,
               io_pool& pool,
               const kv_operation& operation) {
  metadata_store store(pool, server.address());
  std::promise<kv_answer> done;
  store.Call(operation, milliseconds(2'000),
             [&done](const kv_answer& answer) { done.set_value(answer); });
  return done.get_future().get();
}

}  // namespace

// Guards against a key that seems to be gone because it was removed before it
// was written again, or the other way round.
Test(metadata_store, the_last_of_several_changes_of_a_key_counts) {
  io_pool pool(2);
  http_server server(pool, [](const std::shared_ptr<http_exchange>& exchange) {
    exchange->Respond(
        JsonResponse(200, {{"events",
                            {Event("a", "1", 5),
                             {{"key", "a"}, {"rev", 6}, {"removed", true}},
                             Event("a", "2", 7),
                             Event("b", "1", 8),
                             {{"key", "b"}, {"rev", 9}, {"removed", true}}}},
                           {"as_of", 30}}));
  });
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  const kv_answer answer = Call(server, pool, kv_watch{"", 4});
  cr_assert(answer.outcome == kv_answer::status::ok);
  cr_assert(answer.entries.size() == 1);
  cr_assert(answer.entries[0].key == "a" && answer.entries[0].value == "2");
  cr_assert(answer.deleted == std::vector<std::string>{"b"});
  cr_assert(answer.last_change == 9 && answer.revision == 30);
  pool.Stop();
}

// Guards against changes that are missed: pages are no snapshot, so that the
// changes since the first page have to be read.
Test(metadata_store, a_listing_of_several_pages_counts_from_the_first) {
  io_pool pool(2);
  http_server server(pool, [](const std::shared_ptr<http_exchange>& exchange) {
    const bool is_first =
        exchange->request().target.find("after=") == std::string::npos;
    exchange->Respond(JsonResponse(
        200, {{"items", {Event(is_first ? "a" : "b", "1", is_first ? 3 : 11)}},
              {"truncated", is_first},
              {"as_of", is_first ? 10 : 12}}));
  });
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  const kv_answer answer = Call(server, pool, kv_list{""});
  cr_assert(answer.entries.size() == 2 && answer.revision == 10);
  pool.Stop();
}

// Guards against a batch that is carried out in part, or whose writes lose
// their conditions.
Test(metadata_store, a_batch_is_one_transaction_with_all_conditions) {
  io_pool pool(2);
  json received;
  http_server server(
      pool, [&received](const std::shared_ptr<http_exchange>& exchange) {
        received = json::parse(exchange->request().body);
        exchange->Respond(JsonResponse(200, {{"rev", 12}}));
      });
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  const kv_answer answer =
      Call(server, pool, kv_write_batch{{{"a", 3, "x", 0}, {"b", 0, "y", 7}}});
  cr_assert(answer.outcome == kv_answer::status::ok && answer.revision == 12);
  cr_assert(received.at("expect") == json::parse(R"([{"key":"a","rev":3},
                                                     {"key":"b","rev":0}])"));
  const json& puts = received.at("puts");
  cr_assert(puts.size() == 2);
  cr_assert(puts[0].at("key") == "a" && !puts[0].contains("lease"));
  cr_assert(puts[0].at("value") == EncodeBase64("x"));
  cr_assert(puts[1].at("key") == "b" && puts[1].at("lease") == 7);
  pool.Stop();
}

// Guards against a conflict of a batch that is believed although every
// condition is met, and against one that is not believed because one of them
// is.
Test(metadata_store, a_batch_conflicts_if_one_condition_is_not_met) {
  for (const int version_of_b : {4, 5}) {
    io_pool pool(2);
    http_server server(
        pool, [version_of_b](const std::shared_ptr<http_exchange>& exchange) {
          exchange->Respond(JsonResponse(
              412, {{"items",
                     {Event("a", "1", 3), Event("b", "2", version_of_b)}}}));
        });
    cr_assert(!Failed(server.Listen("127.0.0.1:0")));
    const kv_answer answer = Call(
        server, pool,
        kv_write_batch{{{"a", 3, "x", 0}, {"b", 4, "y", 0}, {"c", 0, "z", 0}}});
    if (version_of_b == 4) {
      cr_assert(answer.outcome == kv_answer::status::no_answer);
    } else {
      cr_assert(answer.outcome == kv_answer::status::conflict);
      cr_assert(answer.entries.size() == 2);
    }
    pool.Stop();
  }
}

// Guards against a listing that is read to its end although its reader can't
// use one that long, and against one that seems complete.
Test(metadata_store, a_listing_is_truncated_at_its_bound) {
  io_pool pool(2);
  int pages = 0;
  http_server server(
      pool, [&pages](const std::shared_ptr<http_exchange>& exchange) {
        const std::string key = "k" + std::to_string(++pages);
        exchange->Respond(
            JsonResponse(200, {{"items", {Event(key.c_str(), "1", 3)}},
                               {"truncated", pages < 5},
                               {"as_of", 10}}));
      });
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  const kv_answer part = Call(server, pool, kv_list{"k", false, 3});
  cr_assert(part.outcome == kv_answer::status::ok && part.is_truncated);
  cr_assert_eq(part.entries.size(), 3);
  cr_assert_eq(pages, 3);
  for (const kv_list& listing : {kv_list{"k"}, kv_list{"k", false, 5}}) {
    pages = 0;
    const kv_answer whole = Call(server, pool, listing);
    cr_assert(whole.outcome == kv_answer::status::ok && !whole.is_truncated);
    cr_assert_eq(whole.entries.size(), 5);
  }
  pool.Stop();
}
