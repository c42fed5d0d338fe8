#include "gentian_daemon/caller_api.h"

#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
// A refusal usually comes before this and then has its own HTTP status; after
// it, callers need comment lines to know that the connection is alive.
constexpr std::chrono::seconds kQuietStart{1};

session_id SessionOf(const caller_operation& operation) {
  return std::visit(
      [](const auto& value) {
        using type = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<type, list_addresses> ||
                      std::is_same_v<type, open_session> ||
                      std::is_same_v<type, plain_call>) {
          return session_id();
        } else {
          return value.session;
        }
      },
      operation);
}

std::string ToText(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// A whole chat completion as a single chunk, for streams whose events are no
// longer kept.
json AsChunk(const json& body) {
  json chunk = body;
  if (!chunk.is_object() || !chunk.contains("choices")) {
    return chunk;
  }
  chunk["object"] = "chat.completion.chunk";
  for (json& choice : chunk["choices"]) {
    if (choice.is_object() && choice.contains("message")) {
      choice["delta"] = choice["message"];
      choice.erase("message");
    }
  }
  return chunk;
}

}  // namespace

caller_api::caller_api(event_sink sink,
                       std::function<bool()> overloaded,
                       std::function<void(error_kind)> on_refused)
    : sink_(std::move(sink)),
      overloaded_(std::move(overloaded)),
      on_refused_(std::move(on_refused)) {}

void caller_api::Handle(const std::shared_ptr<http_exchange>& exchange) {
  result<parsed_request> parsed = ReadCallerRequest(exchange->request());
  if (Failed(parsed)) {
    on_refused_(ErrorOf(parsed).kind);
    exchange->Respond(ErrorResponse(ErrorOf(parsed)));
    return;
  }
  if (overloaded_()) {
    on_refused_(error_kind::overloaded);
    exchange->Respond(ErrorResponse(
        error{error_kind::overloaded, "the daemon has too many requests",
              "retry at another address", call_outcome::not_run,
              milliseconds(1'000)}));
    return;
  }
  parsed_request& request = ValueOf(parsed);
  pending entry;
  entry.exchange = exchange;
  entry.since = std::chrono::steady_clock::now();
  entry.session = SessionOf(request.operation);
  entry.streams = request.streams;
  entry.call = request.call;
  if (const auto* resume = std::get_if<resume_events>(&request.operation)) {
    entry.resumed = resume->after_event > 0;
  }
  request_id id = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    id = ++last_id_;
    pending_[id] = std::move(entry);
  }
  sink_(
      caller_request{id, std::move(request.key), std::move(request.operation)});
  exchange->SetDisconnectHandler([this, id] { Disconnected(id); });
}

void caller_api::Disconnected(request_id id) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pending_.erase(id) == 0) {
      return;
    }
  }
  sink_(caller_disconnected{id});
}

void caller_api::Reply(const reply_to_caller& reply) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = pending_.find(reply.id);
  if (found == pending_.end()) {
    return;
  }
  pending& entry = found->second;
  std::visit([&entry](const auto& part) { SendPart(entry, part); }, reply.part);
  if (!std::holds_alternative<answer_event>(reply.part)) {
    pending_.erase(found);
  }
}

void caller_api::StartQuietStreams() {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [id, entry] : pending_) {
    if (entry.streams && !entry.started && now - entry.since >= kQuietStart) {
      StartStream(entry);
    }
  }
}

std::size_t caller_api::open_requests() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return pending_.size();
}

void caller_api::StartStream(pending& entry) {
  if (entry.started) {
    return;
  }
  entry.started = true;
  http_headers headers;
  if (!entry.session.empty()) {
    headers.Add("X-Session", entry.session.text());
  }
  if (entry.call > 0) {
    headers.Add("X-Call", std::to_string(entry.call));
  }
  entry.exchange->StartEvents(std::move(headers));
}

void caller_api::SendPart(pending& entry, const answer_event& part) {
  if (!entry.streams) {
    return;
  }
  StartStream(entry);
  ++entry.events_sent;
  entry.exchange->SendEvent(
      stream_event{std::to_string(part.id), "", ToText(part.data)});
}

void caller_api::SendPart(pending& entry, const final_answer& part) {
  if (!entry.streams) {
    http_response response = JsonResponse(kOk, part.body);
    if (part.call > 0) {
      response.headers.Add("X-Call", std::to_string(part.call));
    }
    entry.exchange->Respond(std::move(response));
    return;
  }
  entry.call = part.call;
  StartStream(entry);
  std::string id;
  if (part.event_id > 0) {
    id = std::to_string(part.event_id);
  }
  if (entry.events_sent == 0 && !entry.resumed) {
    entry.exchange->SendEvent(stream_event{"", "", ToText(AsChunk(part.body))});
  }
  entry.exchange->SendEvent(stream_event{id, "", "[DONE]"});
  entry.exchange->EndStream();
}

void caller_api::SendPart(pending& entry, const error& part) {
  Log(log_level::debug, "request refused or failed",
      {{"session", entry.session},
       {"reason", NameOf(part.kind)},
       {"outcome", NameOf(part.outcome)}});
  if (!entry.started) {
    entry.exchange->Respond(ErrorResponse(part));
    return;
  }
  entry.exchange->SendEvent(
      stream_event{"", "error", ToText(json{{"error", part}})});
  entry.exchange->EndStream();
}

}  // namespace gentian
