#include <criterion/criterion.h>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_daemon/gentian_daemon.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

constexpr const char* kKey = "0123456789abcdef-team-key";

// A daemon in this process with one engine and one tool service.
struct daemon_fixture {
  daemon_fixture() {
    cr_assert(!Failed(engine_http.Listen("127.0.0.1:0")));
    cr_assert(!Failed(tool_http.Listen("127.0.0.1:0")));
    cr_assert(!Failed(store_http.Listen("127.0.0.1:0")));
    key_values =
        std::make_unique<etcd_key_value_store>(pool, store_http.address());
    options.host = host_id("d");
    subject = std::make_unique<gentian::daemon>(
        options, initial_settings(Settings()), pool,
        daemon_platform{key_values.get(), &targets, nullptr});
    cr_assert(!Failed(subject->Start()));
  }
  ~daemon_fixture() {
    subject->RequestStop();
    cr_assert(!Failed(subject->WaitUntilStopped()));
    pool.Stop();
  }

  configuration Settings() const {
    configuration settings;
    settings.version = 1;
    settings.daemons[options.host].host = options.host;
    const pool_id models("models");
    const pool_id tool_pool("tools");
    settings.pools[models] = {models, target_kind::engine, "m"};
    settings.pools[tool_pool] = {tool_pool, target_kind::tool_service, ""};
    settings.targets[target_id("e")] = {
        target_id("e"), models, {}, engine_http.address()};
    settings.targets[target_id("t")] = {
        target_id("t"), tool_pool, {}, tool_http.address()};
    settings.tools["book"] = {"book", tool_pool, "/book"};
    settings.routes.push_back({"/plain", tool_pool, true, true});
    settings.programs[program_id("p")] = {program_id("p"), models, 0, {"book"}};
    team_settings team;
    team.id = team_id("team");
    team.key_hashes = {Sha256Hex(kKey)};
    team.programs = {program_id("p")};
    settings.teams[team.id] = team;
    return settings;
  }

  http_outcome Call(const std::string& target,
                    json body,
                    const std::string& session = "") {
    const std::string key = kKey;
    body["api_key"] = key;
    body["note"] = "the key is " + key;
    http_client_request request = PostRequest(
        subject->caller_address(), target + "?api_key=" + key, body.dump());
    request.headers.Add("Authorization", "Bearer " + key);
    request.headers.Add("X-Api-Key", key);
    request.headers.Add("Cookie", "key=" + key);
    request.headers.Add("Idempotency-Key", std::to_string(++calls) + "-" + key);
    if (!session.empty()) {
      request.headers.Add("X-Session", session);
    }
    return Fetch(client, std::move(request));
  }

  std::string OpenSession() {
    http_outcome opened;
    cr_assert(WaitFor([&] {
      opened = Call("/v1/sessions", {{"program", "p"}});
      return opened.response.status == 200;
    }));
    return json::parse(opened.response.body)["id"];
  }

  io_pool pool{2};
  engine_fake engine{pool, engine_fake_options{}};
  tool_fake tools{pool};
  http_server engine_http{
      pool, [this](const auto& exchange) { engine.Serve(exchange); }};
  http_server tool_http{
      pool, [this](const auto& exchange) { tools.Serve(exchange); }};
  key_value_fake values;
  etcd_fake_server store{pool, values};
  http_server store_http{
      pool, [this](const auto& exchange) { store.Serve(exchange); }};
  std::unique_ptr<etcd_key_value_store> key_values;
  http_target_gateway targets{pool};
  http_client client{pool};
  int calls = 0;
  daemon_options options;
  std::unique_ptr<gentian::daemon> subject;
};

}  // namespace

// Guards against a target that sees a caller's key on any kind of call (I5).
Test(daemon, no_target_sees_the_key) {
  daemon_fixture fixture;
  const std::string session = fixture.OpenSession();
  const json chat{{"messages", {{{"role", "user"}, {"content", kKey}}}}};
  cr_assert(
      fixture.Call("/v1/chat/completions", chat, session).response.status ==
      200);
  cr_assert(fixture.Call("/v1/sessions/" + session + "/tools/book", {})
                .response.status == 200);
  cr_assert(fixture.Call("/plain/info", {}).response.status == 200);
  cr_assert(fixture.engine.HasSeen("/v1/chat/completions"));
  cr_assert(fixture.tools.HasSeen("/plain/info"));
  cr_assert(!fixture.engine.HasSeen(kKey));
  cr_assert(!fixture.tools.HasSeen(kKey));
}

// Guards against a client library that gets an answer of another shape.
Test(daemon, streamed_call_has_the_chat_completions_shape) {
  daemon_fixture fixture;
  const std::string session = fixture.OpenSession();
  const http_outcome outcome =
      fixture.Call("/v1/chat/completions",
                   {{"stream", true},
                    {"messages", {{{"role", "user"}, {"content", "words=5"}}}}},
                   session);
  event_stream_parser parser;
  const auto events = parser.Feed(outcome.response.body);
  cr_assert(events.size() == 6);
  for (std::size_t i = 0; i < 5; ++i) {
    cr_assert(events[i].id == std::to_string(i + 1));
    const json chunk = json::parse(events[i].data);
    cr_assert(chunk["object"] == "chat.completion.chunk");
    cr_assert(chunk["choices"][0]["delta"].contains("content"));
  }
  cr_assert(events.back().data == "[DONE]");
}

// Guards against errors that a program can not act on.
Test(daemon, errors_are_typed_and_say_that_the_call_was_not_run) {
  daemon_fixture fixture;
  fixture.OpenSession();
  const http_outcome unknown = fixture.Call(
      "/v1/chat/completions", {{"messages", json::array()}}, "d-1-0.9.x");
  const json reason = json::parse(unknown.response.body)["error"];
  cr_assert(unknown.response.status == 404);
  cr_assert(reason["kind"] == "unknown_session");
  cr_assert(reason["outcome"] == "not_run");
  cr_assert(!reason["remedy"].get<std::string>().empty());
  const http_outcome route = fixture.Call("/no/such/route", {});
  cr_assert(json::parse(route.response.body)["error"]["kind"] ==
            "unknown_route");
}
