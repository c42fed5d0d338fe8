// Tests a key-value service in trouble whose answers never end. What a process
// has read and holds counts toward the memory of its host.
#include <criterion/criterion.h>
#include <sys/resource.h>

#include <atomic>
#include <cstdio>
#include <functional>
#include <future>
#include <optional>
#include <utility>
#include <vector>

#include "platform/gateway_fixture.h"
#include "support/scripted_target.h"

using namespace gentian;
using gentian::testing::fake_metadata_store;
using gentian::testing::fake_store_client;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::ProcessAddress;
using gentian::testing::scripted_target;
using gentian::testing::WaitFor;

using step = scripted_target::step;
using status = kv_answer::status;

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kPart = 64 * 1024;
// More than a page and the buffers of its connection.
constexpr std::size_t kMostOfAnAnswer = 16 * kMegabyte;
constexpr milliseconds kDeadline{1'000};
// Longest time of an answer that is on its way, and some for a busy machine.
constexpr std::chrono::seconds kEnd{10};

const char* const kHead = "HTTP/1.1 200 OK\r\n";

std::string WithLength(const std::string& body) {
  return kHead + ("Content-Length: " + std::to_string(body.size())) +
         "\r\n\r\n" + body;
}

/** The outcome of a call; nothing if it has not ended in time. */
std::optional<kv_answer> Call(const std::string& address,
                              const kv_operation& operation,
                              std::size_t memory = 0) {
  io_pool pool(1);
  pool.message_memory().SetCapacity(memory);
  metadata_store store(pool, address);
  auto done = std::make_shared<std::promise<kv_answer>>();
  std::future<kv_answer> answer = done->get_future();
  store.Call(operation, kDeadline,
             [done](const kv_answer& got) { done->set_value(got); });
  const bool ended = answer.wait_for(kEnd) == std::future_status::ready;
  pool.Stop();
  return ended ? std::optional(answer.get()) : std::nullopt;
}

const std::vector<kv_operation> kOperations = {
    kv_list{"op/"},      kv_watch{"op/", 1, milliseconds(100)},
    kv_get{"op/config"}, kv_compare_and_swap{"a", 0, "1", 0},
    kv_delete{"a", 1},   kv_grant_lease{milliseconds(1'000)},
    kv_renew_lease{1}};

}  // namespace

// Guards against a process that collects what the key-value service sends
// without end, until its host has no memory left.
Test(endless_store, an_answer_is_cut_off, .timeout = 120) {
  const std::string chunk = "10000\r\n" + std::string(kPart, 'x') + "\r\n";
  const std::vector<step> steps = {
      {std::string(kHead) + "\r\n{\"items\":[{\"value\":\"",
       scripted_target::ending::keep_open, std::string(kPart, 'x')},
      {std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n",
       scripted_target::ending::keep_open, chunk},
      {std::string(kHead) + "Content-Length: 60000000\r\n\r\n{\"items\":[",
       scripted_target::ending::keep_open, std::string(kPart, ' ')},
      {"HTTP/1.1 500 Error\r\n\r\n", scripted_target::ending::keep_open,
       std::string(kPart, 'x')},
      {std::string(kHead), scripted_target::ending::keep_open,
       "A: " + std::string(100, 'x') + "\r\n"}};
  for (const kv_operation& operation : kOperations) {
    for (std::size_t i = 0; i < steps.size(); ++i) {
      scripted_target server(
          [&steps, i](const std::string&, int) { return steps[i]; });
      const auto answer = Call(server.address(), operation);
      cr_assert(answer.has_value(), "%zu %zu", operation.index(), i);
      cr_assert(answer->outcome == status::no_answer, "%zu %zu",
                operation.index(), i);
      cr_assert(!answer->reason.empty());
      cr_assert(server.repeated_bytes() < kMostOfAnAnswer, "%zu %zu: %zu",
                operation.index(), i, server.repeated_bytes());
    }
  }
}

// Guards against a listing that is read for good, because its pages never end
// or are the same ones again.
Test(endless_store, pages_without_end_are_given_up, .timeout = 120) {
  using page = std::function<json(int number)>;
  const auto item = [](int number, std::size_t size) {
    char key[32];
    std::snprintf(key, sizeof(key), "op/%09d", number);
    return json{{"key", key},
                {"value", EncodeBase64(std::string(size, 'x'))},
                {"rev", 1}};
  };
  const std::vector<page> pages = {
      [&item](int number) { return json::array({item(number, 1)}); },
      [&item](int number) { return json::array({item(number, kMegabyte)}); },
      [&item](int) { return json::array({item(1, 1)}); },
      [&item](int number) {
        return number == 0 ? json::array({item(1, 1)}) : json::array();
      }};
  for (std::size_t i = 0; i < pages.size(); ++i) {
    std::atomic<int> number{0};
    std::atomic<std::size_t> bytes{0};
    scripted_target server([&](const std::string&, int) {
      const std::string body = json{
          {"items", pages[i](number++)},
          {"truncated", true},
          {"as_of", 2}}.dump();
      bytes += body.size();
      return step{WithLength(body)};
    });
    const auto answer = Call(server.address(), kv_list{"op/"});
    cr_assert(answer.has_value(), "%zu: %d pages, %zu bytes", i, number.load(),
              bytes.load());
    cr_assert(answer->outcome == status::no_answer, "%zu", i);
    cr_assert(answer->entries.empty());
    cr_assert(bytes < 32 * kMegabyte, "%zu: %zu", i, bytes.load());
    cr_assert(number < 100, "%zu: %d", i, number.load());
  }
}

// Guards against a short answer that takes many times its size once it is
// parsed.
Test(endless_store, an_answer_of_many_values_is_not_parsed, .timeout = 60) {
  const auto repeat = [](const std::string& part, std::size_t size) {
    std::string text;
    while (text.size() < size) {
      text += part;
    }
    return text;
  };
  const std::vector<std::string> bodies = {
      R"({"items":[)" + repeat("[],", 3 * kMegabyte) + "[]]}",
      R"({"items":)" + repeat("[", 3 * kMegabyte),
      R"({"items":[)" + repeat(R"({"":0},)", 3 * kMegabyte) + "{}]}"};
  for (const std::string& body : bodies) {
    const std::string text = WithLength(body);
    scripted_target server(
        [&text](const std::string&, int) { return step{text}; });
    rusage before{};
    ::getrusage(RUSAGE_SELF, &before);
    const auto answer = Call(server.address(), kv_list{"op/"});
    rusage after{};
    ::getrusage(RUSAGE_SELF, &after);
    cr_assert(answer.has_value());
    cr_assert(answer->outcome == status::no_answer);
    // Of a body of 3 MB: its copies at both ends, and the values.
    const long grown_kb = after.ru_maxrss - before.ru_maxrss;
    cr_assert(grown_kb < 40 * 1024, "%ld KB", grown_kb);
  }
}

// Guards against a listing whose pages take the memory of the process, because
// each of them is short.
Test(endless_store, the_pages_of_a_listing_are_counted, .timeout = 60) {
  std::atomic<int> number{0};
  scripted_target server([&](const std::string&, int) {
    return step{WithLength(json{
        {"items",
         {{{"key", "op/" + std::to_string(1000 + ++number)},
           {"value", EncodeBase64(std::string(kMegabyte, 'x'))},
           {"rev", 1}}}},
        {"truncated", number < 12},
        {"as_of", 2}}.dump())};
  });
  const auto answer = Call(server.address(), kv_list{"op/"}, 6 * kMegabyte);
  cr_assert(answer.has_value());
  cr_assert(answer->outcome == status::no_answer);
  cr_assert(number < 10, "%d", number.load());
  number = 0;
  const auto sound = Call(server.address(), kv_list{"op/"}, 48 * kMegabyte);
  cr_assert(sound.has_value());
  cr_assert(sound->outcome == status::ok && sound->entries.size() == 12);
}

// Guards against a process that reads an answer which it can't use again and
// again, as fast as its connection allows.
Test(endless_store, an_unusable_answer_is_not_read_at_once_again) {
  for (const std::string body : {"{\"items\":[", "not JSON"}) {
    scripted_target server(
        [&body](const std::string&, int) { return step{WithLength(body)}; });
    const steady_time begin = BootTimeNow();
    const auto answer = Call(server.address(), kv_list{"op/"});
    cr_assert(answer.has_value() && answer->outcome == status::no_answer);
    cr_assert(BootTimeNow() - begin >= kDeadline);
  }
}

namespace {

/** Calls a sound key-value service until it is replaced by one in trouble. */
class replaceable_store : public key_value_store {
 public:
  replaceable_store(key_value_store& sound, key_value_store& troubled)
      : sound_(sound), troubled_(troubled) {}

  void Replace() { is_replaced_ = true; }

  void Call(const kv_operation& operation,
            milliseconds deadline,
            answer_handler handler) override {
    (is_replaced_ ? troubled_ : sound_)
        .Call(operation, deadline, std::move(handler));
  }

 private:
  key_value_store& sound_;
  key_value_store& troubled_;
  std::atomic<bool> is_replaced_{false};
};

/** What a gateway read in some seconds from a service in trouble. */
struct reads {
  int requests = 0;
  std::size_t bytes = 0;
};

constexpr std::chrono::seconds kTrouble{3};

/** Runs a gateway whose key-value service gets into trouble, and expects
    answers to callers all along. */
reads RunInTrouble(const scripted_target::script& script) {
  scripted_target server(script);
  gateway_fixture base([](const std::shared_ptr<http_exchange>& exchange, int) {
    fake_target::RespondSealed(exchange, "served");
  });
  io_pool pool(1);
  fake_store_client sound(base.store, pool);
  metadata_store troubled(pool, server.address());
  replaceable_store store(sound, troubled);
  gateway_settings settings =
      gateway_fixture::Settings(100, milliseconds(60'000));
  settings.host = "other";
  settings.configuration_bound = milliseconds(60'000);
  settings.drain_bound = milliseconds(60'000);
  gateway_daemon daemon(pool, store, base.protocol, settings, "start-2");
  cr_assert(!Failed(daemon.Start()));
  cr_assert(WaitFor([&] {
    return base.Status(settings.readiness_address, "/readiness") == 200;
  }));
  store.Replace();
  const steady_time end = BootTimeNow() + kTrouble;
  for (int i = 0; BootTimeNow() < end; ++i) {
    http_client_request request = base.Request("/again/x");
    request.address = settings.caller_address;
    request.headers = http_headers();
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", "in-trouble-" + std::to_string(i));
    request.headers.Add("X-Api-Key", "k");
    const auto outcome = Fetch(base.client, request);
    cr_assert(outcome.response.status == 200, "%d: %d", i,
              outcome.response.status);
    std::this_thread::sleep_for(milliseconds(50));
  }
  pool.Stop();
  return {server.requests(), server.repeated_bytes()};
}

}  // namespace

// Guards against a gateway that stops serving, or reads without pause, because
// its key-value service sends without end.
Test(endless_store, a_gateway_goes_on_with_what_it_knows, .timeout = 60) {
  const reads seen = RunInTrouble([](const std::string&, int) {
    return step{std::string(kHead) + "\r\n", scripted_target::ending::keep_open,
                std::string(kPart, 'x')};
  });
  // Six kinds of calls, each of them once in its deadline of 0.8 s.
  cr_assert(seen.requests < 6 * 5, "%d", seen.requests);
  cr_assert(seen.bytes < seen.requests * kMostOfAnAnswer, "%d: %zu",
            seen.requests, seen.bytes);
}

// Guards against a registration, or a watch, that is sent again without pause
// because its answer comes at once and tells nothing.
Test(endless_store,
     an_answer_without_news_is_not_asked_for_in_a_loop,
     .timeout = 60) {
  const reads seen = RunInTrouble([](const std::string& request, int) {
    const bool is_write = request.find("POST /kv-txn") != std::string::npos;
    const std::string body =
        R"({"items":[],"events":[],"as_of":1000000,"lease":7,"rev":1000000})";
    return is_write ? step{"HTTP/1.1 412 No\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body}
           : request.find("POST /kv-keep") != std::string::npos
               ? step{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}
               : step{WithLength(body)};
  });
  cr_assert(seen.requests < 200, "%d", seen.requests);
}
