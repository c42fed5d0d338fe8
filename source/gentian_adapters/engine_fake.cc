#include "gentian_adapters/engine_fake.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>
#include <vector>

#include "gentian_adapters/prefix_cache_fake.h"
#include "gentian_adapters/request_recorder.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
// Time for which a stream without a reader can be resumed.
constexpr std::chrono::seconds kResumeTime{10};
constexpr std::uint64_t kDefaultMaxTokens = 1'024;

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> words;
  std::string word;
  while (in >> word) {
    words.push_back(word);
  }
  return words;
}

std::string ContentOf(const json& message) {
  if (!message.is_object() || !message.contains("content") ||
      !message["content"].is_string()) {
    return {};
  }
  return message["content"].get<std::string>();
}

std::vector<std::string> AnswerWords(const std::string& prompt) {
  const std::string marker = "words=";
  const std::size_t found = prompt.find(marker);
  std::vector<std::string> words;
  if (found != std::string::npos) {
    const long count = std::atol(prompt.c_str() + found + marker.size());
    for (long i = 1; i <= count; ++i) {
      words.push_back("w" + std::to_string(i));
    }
    return words;
  }
  words = {"You", "said:"};
  for (std::string& word : SplitWords(prompt)) {
    words.push_back(std::move(word));
  }
  return words;
}

struct generation {
  std::string id;
  std::string session;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::vector<std::string> words;
  std::size_t generated = 0;
  bool streams = false;
  std::shared_ptr<http_exchange> reader;
  steady_time reader_lost;

  bool finished() const { return generated == words.size(); }
};

json Usage(const generation& call) {
  return {{"prompt_tokens", call.prompt_tokens},
          {"completion_tokens", call.generated},
          {"total_tokens", call.prompt_tokens + call.generated},
          {"prompt_tokens_details", {{"cached_tokens", call.cached_tokens}}}};
}

}  // namespace

struct engine_fake::state : std::enable_shared_from_this<engine_fake::state> {
  explicit state(engine_fake_options values)
      : options(std::move(values)), cache(options.cache_tokens) {}

  // Generates one token for each call that has a slot.
  void Step() {
    const std::lock_guard<std::mutex> lock(mutex);
    std::size_t used = 0;
    for (auto call = calls.begin(); call != calls.end();) {
      generation& current = call->second;
      if (!current.finished() && used < options.slots) {
        ++used;
        Generate(current);
      }
      const bool abandoned =
          !current.reader &&
          std::chrono::steady_clock::now() > current.reader_lost + kResumeTime;
      call = abandoned ? calls.erase(call) : std::next(call);
    }
  }

  void Generate(generation& call) {
    ++call.generated;
    if (call.streams && call.reader) {
      SendChunk(call, call.generated - 1);
    }
    if (!call.finished()) {
      return;
    }
    if (!call.session.empty()) {
      cache.Store(call.session, call.prompt_tokens + call.generated);
    }
    FinishReader(call);
  }

  void FinishReader(generation& call) {
    if (call.reader && call.streams) {
      call.reader->SendEvent(stream_event{"", "", "[DONE]"});
      call.reader->EndStream();
    } else if (call.reader) {
      call.reader->Respond(JsonResponse(kOk, WholeAnswer(call)));
    }
    call.reader.reset();
    call.reader_lost = std::chrono::steady_clock::now();
  }

  void SendChunk(const generation& call, std::size_t position) {
    const bool last = position + 1 == call.words.size();
    json chunk{
        {"id", call.id},
        {"object", "chat.completion.chunk"},
        {"model", options.name},
        {"choices",
         {{{"index", 0},
           {"delta", {{"content", call.words[position] + (last ? "" : " ")}}},
           {"finish_reason", last ? json("stop") : json()}}}}};
    if (last) {
      chunk["usage"] = Usage(call);
    }
    call.reader->SendEvent(
        stream_event{std::to_string(position), "", chunk.dump()});
  }

  json WholeAnswer(const generation& call) const {
    std::string text;
    for (const std::string& word : call.words) {
      text += (text.empty() ? "" : " ") + word;
    }
    return {{"id", call.id},
            {"object", "chat.completion"},
            {"model", options.name},
            {"choices",
             {{{"index", 0},
               {"message", {{"role", "assistant"}, {"content", text}}},
               {"finish_reason", "stop"}}}},
            {"usage", Usage(call)}};
  }

  void StartCall(const std::shared_ptr<http_exchange>& exchange,
                 const json& body) {
    generation call;
    call.id = options.name + "-" + std::to_string(++started);
    call.session = exchange->request().headers.Find("X-Session");
    std::string prompt;
    for (const json& message : body.value("messages", json::array())) {
      prompt = ContentOf(message);
      call.prompt_tokens += 1 + SplitWords(prompt).size();
    }
    call.cached_tokens = std::min(cache.Held(call.session), call.prompt_tokens);
    call.words = AnswerWords(prompt);
    const auto limit = body.value("max_tokens", kDefaultMaxTokens);
    if (call.words.size() > limit) {
      call.words.resize(limit);
    }
    call.streams = body.value("stream", false);
    const std::string id = call.id;
    calls[id] = std::move(call);
    Attach(calls[id], exchange, 0);
  }

  void Attach(generation& call,
              const std::shared_ptr<http_exchange>& exchange,
              std::size_t offset) {
    call.reader = exchange;
    exchange->SetDisconnectHandler(
        [weak = weak_from_this(), id = call.id, exchange] {
          if (const auto me = weak.lock()) {
            me->Detach(id, exchange);
          }
        });
    if (!call.streams) {
      return;
    }
    http_headers headers;
    headers.Add("X-Stream-Id", call.id);
    exchange->StartEvents(std::move(headers));
    for (std::size_t i = offset; i < call.generated; ++i) {
      SendChunk(call, i);
    }
    if (call.finished()) {
      FinishReader(call);
    }
  }

  void Detach(const std::string& id,
              const std::shared_ptr<http_exchange>& exchange) {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = calls.find(id);
    if (found == calls.end() || found->second.reader != exchange) {
      return;
    }
    found->second.reader.reset();
    found->second.reader_lost = std::chrono::steady_clock::now();
    if (!found->second.streams) {
      calls.erase(found);
    }
  }

  void Completions(const std::shared_ptr<http_exchange>& exchange) {
    const http_request& request = exchange->request();
    const std::string resumed = request.headers.Find("X-Resume-Stream");
    if (!resumed.empty()) {
      const auto found = calls.find(resumed);
      if (found == calls.end()) {
        exchange->Respond(JsonResponse(kNotFound, {{"error", "no stream"}}));
        return;
      }
      Attach(found->second, exchange,
             std::strtoul(request.headers.Find("X-Resume-Offset").c_str(),
                          nullptr, 10));
      return;
    }
    const result<json> body = ParseJsonBody(request.body);
    if (Failed(body) || !ValueOf(body).is_object()) {
      exchange->Respond(ErrorResponse(
          error{error_kind::malformed_request, "not a JSON object", ""}));
      return;
    }
    StartCall(exchange, ValueOf(body));
  }

  void Control(const std::shared_ptr<http_exchange>& exchange) {
    const http_request& request = exchange->request();
    const std::uint64_t token = std::strtoull(
        request.headers.Find("X-Fencing-Token").c_str(), nullptr, 10);
    const result<json> body = ParseJsonBody(request.body);
    if (Failed(body) || !ValueOf(body).is_object()) {
      exchange->Respond(ErrorResponse(
          error{error_kind::malformed_request, "not a JSON object", ""}));
      return;
    }
    // Tokens are generations of shards, which grow independently of each
    // other, so they are compared within one shard only.
    const std::string session = ValueOf(body).value("session", "");
    const std::string shard = ShardOf(session_id(session)).text();
    std::uint64_t& newest = tokens[shard];
    if (options.checks_fencing && token < newest) {
      exchange->Respond(JsonResponse(kConflict, {{"error", "stale token"}}));
      return;
    }
    newest = std::max(newest, token);
    if (ValueOf(body).value("order", "") == "release_cache") {
      cache.Release(session);
    }
    exchange->Respond(JsonResponse(kOk, json::object()));
  }

  json Load() const {
    std::size_t running = 0;
    for (const auto& [id, call] : calls) {
      running += call.finished() ? 0 : 1;
    }
    const std::size_t active = std::min(running, options.slots);
    return {{"running", active},
            {"queued", running - active},
            {"cached_tokens", cache.total()},
            {"age_ms", 0}};
  }

  engine_fake_options options;
  mutable std::mutex mutex;
  std::uint64_t started = 0;
  // Ids end in a number that grows, and arrival order decides about slots.
  std::map<std::string, generation> calls;
  std::map<std::string, std::uint64_t> tokens;
  prefix_cache_fake cache;
  request_recorder seen;
};

engine_fake::engine_fake(io_pool& pool, const engine_fake_options& options)
    : state_(std::make_shared<state>(options)),
      timer_(std::make_unique<periodic_timer>(
          pool,
          options.token_interval,
          [state = state_] { state->Step(); })) {}

engine_fake::~engine_fake() = default;

void engine_fake::Serve(const std::shared_ptr<http_exchange>& exchange) {
  const http_request& request = exchange->request();
  const std::string path = request.Path();
  const std::lock_guard<std::mutex> lock(state_->mutex);
  if (path != "/load") {
    state_->seen.Add(request);
  }
  const std::string streams = "/v1/streams/";
  if (request.method == "POST" && path == "/v1/chat/completions") {
    state_->Completions(exchange);
  } else if (request.method == "DELETE" && path.rfind(streams, 0) == 0) {
    state_->calls.erase(path.substr(streams.size()));
    exchange->Respond(JsonResponse(kOk, json::object()));
  } else if (path == "/load") {
    exchange->Respond(JsonResponse(kOk, state_->Load()));
  } else if (path == "/cache") {
    exchange->Respond(JsonResponse(kOk, state_->cache.Listing()));
  } else if (path == "/cache/events") {
    const std::string after =
        request.target.substr(request.target.find('=') + 1);
    exchange->Respond(JsonResponse(kOk, state_->cache.EventsAfter(std::strtoull(
                                            after.c_str(), nullptr, 10))));
  } else if (request.method == "POST" && path == "/control") {
    state_->Control(exchange);
  } else {
    exchange->Respond(JsonResponse(kNotFound, {{"error", "no such path"}}));
  }
}

std::uint64_t engine_fake::started() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->started;
}

bool engine_fake::HasSeen(const std::string& text) const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->seen.HasSeen(text);
}

}  // namespace gentian
