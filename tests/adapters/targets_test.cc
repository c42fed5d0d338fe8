#include <criterion/criterion.h>

#include <algorithm>
#include <mutex>
#include <vector>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_adapters/target_stream.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

// The adapter, a fake engine and a fake tool service over loopback.
struct target_fixture {
  target_fixture() {
    cr_assert(!Failed(engine_http.Listen("127.0.0.1:0")));
    cr_assert(!Failed(tool_http.Listen("127.0.0.1:0")));
    gateway.SetSink([this](event input) {
      const std::lock_guard<std::mutex> lock(mutex);
      events.push_back(std::move(input));
    });
  }
  ~target_fixture() {
    engine_http.Stop();
    tool_http.Stop();
    pool.Stop();
  }

  dispatch_call ModelCall(dispatch_id id, const std::string& prompt) const {
    dispatch_call call;
    call.id = id;
    call.address = engine_http.address();
    call.path = "/v1/chat/completions";
    call.stream = true;
    call.session = session_id("s.1.1");
    call.body = {{"stream", true},
                 {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return call;
  }

  dispatch_call ToolCall(dispatch_id id, const json& body) const {
    dispatch_call call;
    call.id = id;
    call.address = tool_http.address();
    call.path = "/tools/book";
    call.body = body;
    call.idempotency_key = "k";
    return call;
  }

  template <typename Event>
  std::vector<Event> All() {
    const std::lock_guard<std::mutex> lock(mutex);
    std::vector<Event> found;
    for (const event& input : events) {
      if (const auto* match = std::get_if<Event>(&input)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  template <typename Event>
  Event WaitForOne() {
    cr_assert(WaitFor([&] { return !All<Event>().empty(); }));
    return All<Event>().front();
  }

  io_pool pool{2};
  engine_fake engine{pool, engine_fake_options{}};
  tool_fake tools{pool};
  http_server engine_http{
      pool, [this](const auto& exchange) { engine.Serve(exchange); }};
  http_server tool_http{
      pool, [this](const auto& exchange) { tools.Serve(exchange); }};
  http_target_gateway gateway{pool};
  std::mutex mutex;
  std::vector<event> events;
};

}  // namespace

// Guards against lost chunks and against a whole answer that differs from
// what was streamed.
Test(targets, stream_and_whole_answer_agree) {
  target_fixture fixture;
  fixture.gateway.Dispatch(fixture.ModelCall(1, "words=30"));
  const auto finished = fixture.WaitForOne<target_finished>();
  const auto chunks = fixture.All<target_chunk>();
  cr_assert(chunks.size() == 30);
  std::string text;
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    cr_assert(chunks[i].offset == i);
    text += chunks[i].data["choices"][0]["delta"]["content"];
  }
  cr_assert(finished.body["choices"][0]["message"]["content"] == text);
  cr_assert(finished.generated_tokens == 30);
  cr_assert(!fixture.WaitForOne<target_accepted>().stream.empty());
}

// Guards against a resumed stream whose whole answer lacks the first part.
Test(targets, resumed_stream_gives_the_whole_answer) {
  target_fixture fixture;
  fixture.gateway.Dispatch(fixture.ModelCall(1, "words=60"));
  cr_assert(WaitFor([&] { return fixture.All<target_chunk>().size() >= 10; }));
  dispatch_call resume = fixture.ModelCall(2, "");
  resume.body = json();
  resume.resume_stream = fixture.WaitForOne<target_accepted>().stream;
  resume.resume_offset = 5;
  fixture.gateway.Dispatch(resume);
  const auto is_second = [](const target_finished& end) { return end.id == 2; };
  cr_assert(WaitFor([&] {
    const auto all = fixture.All<target_finished>();
    return std::any_of(all.begin(), all.end(), is_second);
  }));
  const std::string text = fixture.All<target_finished>()
                               .back()
                               .body["choices"][0]["message"]["content"];
  cr_assert(text.rfind("w1 w2 w3", 0) == 0);
  cr_assert(text.find("w60") != std::string::npos);
  for (const target_chunk& chunk : fixture.All<target_chunk>()) {
    cr_assert(chunk.id == 1 || chunk.offset >= 5);
  }
  cr_assert(fixture.engine.started() == 1);
}

// Guards against failures of one kind that are taken for another: only two of
// them allow a second attempt of a call that may not be repeated.
Test(targets, failures_are_told_apart) {
  const std::vector<std::pair<json, target_failure>> cases = {
      {{{"reject", true}}, target_failure::rejected_not_run},
      {{{"delay_ms", 2'000}}, target_failure::deadline}};
  for (const auto& [body, expected] : cases) {
    target_fixture fixture;
    dispatch_call call = fixture.ToolCall(1, body);
    call.deadline = milliseconds(300);
    fixture.gateway.Dispatch(call);
    cr_assert(fixture.WaitForOne<target_failed>().failure == expected);
  }
  target_fixture fixture;
  dispatch_call call = fixture.ToolCall(1, json::object());
  call.address = "127.0.0.1:1";
  fixture.gateway.Dispatch(call);
  cr_assert(fixture.WaitForOne<target_failed>().failure ==
            target_failure::not_sent);
  dispatch_call unknown = fixture.ModelCall(2, "x");
  unknown.path = "/no/such/path";
  fixture.gateway.Dispatch(unknown);
  cr_assert(WaitFor([&] { return fixture.All<target_failed>().size() == 2; }));
  cr_assert(fixture.All<target_failed>()[1].failure ==
            target_failure::answered_error);
}

// Guards against the header that targets use to recognize a call.
Test(targets, idempotency_key_reaches_the_tool_once) {
  target_fixture fixture;
  fixture.gateway.Dispatch(fixture.ToolCall(1, {{"pass", "day"}}));
  const auto finished = fixture.WaitForOne<target_finished>();
  cr_assert(finished.body["input"]["pass"] == "day");
  cr_assert(fixture.tools.Executions("k") == 1);
}

// Guards against engines that keep generating for callers that are gone.
Test(targets, cancelled_stream_ends_at_the_engine) {
  target_fixture fixture;
  fixture.gateway.Dispatch(fixture.ModelCall(1, "words=100000"));
  fixture.WaitForOne<target_chunk>();
  fixture.gateway.Cancel(1);
  cr_assert(WaitFor([&] {
    fixture.gateway.PollLoad(target_id("e"), fixture.engine_http.address());
    const auto loads = fixture.All<target_load>();
    return !loads.empty() && loads.back().running == 0;
  }));
}

// Guards against cache memory that the scheduler does not know of or can not
// release.
Test(targets, cache_is_reported_and_released) {
  target_fixture fixture;
  const std::string address = fixture.engine_http.address();
  fixture.gateway.Dispatch(fixture.ModelCall(1, "one two three"));
  fixture.WaitForOne<target_finished>();
  fixture.gateway.PollCacheEvents(target_id("e"), address);
  const auto stored = fixture.WaitForOne<target_cache_event>();
  cr_assert(stored.session.text() == "s.1.1" && stored.tokens == 9);
  order_target release;
  release.id = 1;
  release.address = address;
  release.fencing_token = 5;
  release.body = release_cache{session_id("s.1.1")};
  fixture.gateway.Order(release);
  cr_assert(fixture.WaitForOne<target_order_answered>().ok);
  // A token from before a hand-over is refused.
  release.id = 2;
  release.fencing_token = 4;
  fixture.gateway.Order(release);
  cr_assert(WaitFor(
      [&] { return fixture.All<target_order_answered>().size() == 2; }));
  cr_assert(!fixture.All<target_order_answered>()[1].ok);
  order_target list;
  list.id = 3;
  list.target = target_id("e");
  list.address = address;
  list.body = list_cache{};
  fixture.gateway.Order(list);
  cr_assert(WaitFor(
      [&] { return fixture.All<target_order_answered>().size() == 3; }));
  const auto listing = fixture.All<target_order_answered>()[2].listing;
  cr_assert(listing.holdings.empty() && listing.number == 2);
}

// Guards against a list that is not understood and then taken for empty: all
// hosts would count as gone.
Test(host_list, states_are_read_and_errors_reported) {
  io_pool pool(2);
  host_list_fake hosts;
  hosts.Set("e1", false);
  hosts.Set("e2", true);
  http_server server(pool,
                     [&](const auto& exchange) { hosts.Serve(exchange); });
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  http_server broken(pool, [](const auto& exchange) {
    exchange->Respond(JsonResponse(200, {{"hosts", 1}}));
  });
  cr_assert(!Failed(broken.Listen("127.0.0.1:0")));
  const auto read = [&](const std::string& address) {
    http_host_list adapter(pool, address);
    std::promise<result<std::vector<host_list_entry>>> done;
    adapter.Read([&](auto entries) { done.set_value(std::move(entries)); });
    return done.get_future().get();
  };
  const auto entries = ValueOf(read(server.address()));
  cr_assert(entries.size() == 2);
  cr_assert(!entries[0].leaving && entries[1].leaving);
  cr_assert(Failed(read(broken.address())));
  cr_assert(Failed(read("127.0.0.1:1")));
  server.Stop();
  broken.Stop();
  pool.Stop();
}

// Guards against a chunk of a stream that is nested so deeply that the stack
// ends when it is copied, and against one of an unexpected shape.
Test(targets, odd_chunks_end_nothing, .timeout = 60) {
  constexpr std::size_t kDepth = 1'000'000;
  const std::string nested = R"({"choices":)" + std::string(kDepth, '[') +
                             std::string(kDepth, ']') + "}";
  for (const std::string& odd : {nested, std::string(R"({"choices":[5]})")}) {
    std::vector<event> events;
    target_stream stream(
        dispatch_call(), std::make_shared<chat_assembler>(),
        [&](event next) { events.push_back(std::move(next)); });
    http_headers headers;
    headers.Add("Content-Type", "text/event-stream");
    stream.OnHeader(200, headers);
    stream.OnBody("data: " + odd + "\n\n");
    stream.OnBody("data: [DONE]\n\n");
    stream.OnEnd();
    cr_assert(!events.empty() &&
              std::holds_alternative<target_finished>(events.back()));
  }
}

// Guards against an event without an end, and against two ends of one call.
Test(targets, an_event_without_end_fails_once, .timeout = 60) {
  std::vector<event> events;
  target_stream stream(dispatch_call(), std::make_shared<chat_assembler>(),
                       [&](event next) { events.push_back(std::move(next)); });
  http_headers headers;
  headers.Add("Content-Type", "text/event-stream");
  stream.OnHeader(200, headers);
  const std::string part(64 * 1024, 'x');
  for (std::size_t sent = 0; sent <= 2 * event_stream_parser::kMaxEventBytes;
       sent += part.size()) {
    stream.OnBody(part);
  }
  stream.OnEnd();
  const auto failures =
      std::count_if(events.begin(), events.end(), [](const event& next) {
        return std::holds_alternative<target_failed>(next);
      });
  cr_assert(failures == 1);
  cr_assert(std::holds_alternative<target_failed>(events.back()));
}
