#include <criterion/criterion.h>

#include "gentian_daemon/gentian_daemon.h"

using namespace gentian;

namespace {

constexpr const char* kKey = "5ecret-key";

http_request RequestWithKeyEverywhere() {
  const std::string key = kKey;
  http_request request;
  request.method = "POST";
  request.target =
      "/plain/" + key + "?api_key=" + key + "&page=2&x=%35ecret-key";
  request.headers.Add("Authorization", "Bearer " + key);
  request.headers.Add("X-Api-Key", key);
  request.headers.Add("Cookie", "session=" + key);
  request.headers.Add("Idempotency-Key", "a-" + key);
  request.headers.Add("X-Session", "s");
  request.body = json{
      {"api_key", key},
      {"Access_Token", "other"},
      {"text", "my key is " + key},
      {"list", {{{key, key}}}},
      {"count", 3}}.dump();
  return request;
}

}  // namespace

// Guards against a target that sees a caller's key, wherever the caller put it.
Test(credential_filter, key_is_removed_from_every_place) {
  const auto filtered = FilterCredentials(RequestWithKeyEverywhere());
  cr_assert(!Failed(filtered));
  const filtered_request& request = ValueOf(filtered);
  cr_assert(request.key == kKey);
  std::string everything = request.target + request.body.dump();
  for (const auto& [name, value] : request.headers.fields()) {
    everything += name + value;
  }
  cr_assert(everything.find(kKey) == std::string::npos, "%s",
            everything.c_str());
  cr_assert(PercentDecode(request.target).find(kKey) == std::string::npos);
  cr_assert(request.headers.Find("Authorization").empty());
  cr_assert(request.headers.Find("Cookie").empty());
  cr_assert(!request.body.contains("Access_Token"));
}

// Guards against a filter that damages what the target needs.
Test(credential_filter, everything_else_stays) {
  const auto filtered = FilterCredentials(RequestWithKeyEverywhere());
  const filtered_request& request = ValueOf(filtered);
  cr_assert(request.target == "/plain/[removed]?page=2");
  cr_assert(request.headers.Find("X-Session") == "s");
  cr_assert(request.body["count"] == 3);
  cr_assert(request.body["text"] == "my key is [removed]");
}

// Guards against a limit of -1 that becomes the default, and one of 1e30 that
// becomes zero.
Test(caller_request_reader, limits_are_whole_numbers) {
  http_request request;
  request.method = "POST";
  request.target = "/v1/sessions";
  request.headers.Add("Authorization", "Bearer k");
  for (const char* limit : {"-1", "1e30", "1.5", "\"7\"", "true"}) {
    request.body =
        R"({"program":"p","budget":{"calls":)" + std::string(limit) + "}}";
    const auto parsed = ReadCallerRequest(request);
    cr_assert(Failed(parsed), "%s", limit);
    cr_assert(ErrorOf(parsed).kind == error_kind::malformed_request);
  }
  request.body = R"({"program":"p","budget":{"calls":20,"tokens":null}})";
  cr_assert(!Failed(ReadCallerRequest(request)));
}

// Guards against requests of the public API that are read as another one.
Test(caller_request_reader, paths_and_headers_give_operations) {
  http_request request;
  request.method = "POST";
  request.target = "/v1/sessions/s%2E1/tools/book";
  request.headers.Add("Idempotency-Key", "k");
  request.headers.Add("X-Sequence", "3");
  request.body = "{}";
  auto parsed = ReadCallerRequest(request);
  const auto& tool = std::get<tool_call>(ValueOf(parsed).operation);
  cr_assert(tool.session.text() == "s.1" && tool.tool == "book");
  cr_assert(tool.sequence == 3U && tool.idempotency_key == "k");
  cr_assert(!tool.repeatable);

  http_request resume;
  resume.method = "GET";
  resume.target = "/v1/sessions/s/calls/4/events";
  resume.headers.Add("Last-Event-ID", "17");
  parsed = ReadCallerRequest(resume);
  const auto& events = std::get<resume_events>(ValueOf(parsed).operation);
  cr_assert(events.call == 4 && events.after_event == 17);

  http_request chat;
  chat.method = "POST";
  chat.target = "/v1/chat/completions";
  chat.body = R"({"messages": []})";
  cr_assert(Failed(ReadCallerRequest(chat)), "X-Session is missing");
  chat.headers.Add("X-Session", "s");
  cr_assert(!Failed(ReadCallerRequest(chat)));
}

// Guards against a request that keeps a thread for hours, or takes many times
// its size: anybody may present a key of one letter.
Test(credential_filter, a_short_key_makes_no_text_longer, .timeout = 30) {
  constexpr std::size_t kSize = 4 * 1024 * 1024;
  const std::string almost(4'000, 'a');
  for (const std::string& key : {std::string("a"), almost + "b"}) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/sessions";
    request.headers.Add("Authorization", "Bearer " + key);
    request.body = json(std::string(kSize, 'a') + key).dump();
    const auto filtered = FilterCredentials(request);
    cr_assert(!Failed(filtered));
    const auto text = ValueOf(filtered).body.get<std::string>();
    cr_assert(text.size() <= kSize + key.size());
    cr_assert(text.find(key) == std::string::npos);
  }
}
