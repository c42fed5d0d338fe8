#include "gentian_adapters/target_stream.h"

#include <charconv>
#include <utility>

namespace gentian {

namespace {

constexpr std::string_view kEndOfStream = "[DONE]";

std::uint64_t CountOf(const json& usage, const char* name) {
  if (!usage.is_object()) {
    return 0;
  }
  const auto found = usage.find(name);
  return found != usage.end() && found->is_number_unsigned()
             ? found->get<std::uint64_t>()
             : 0;
}

target_failure FailureOf(http_failure failure) {
  switch (failure) {
    case http_failure::not_sent:
    case http_failure::not_wanted:
    case http_failure::no_tunnel:
      return target_failure::not_sent;
    case http_failure::silent:
      return target_failure::silent;
    case http_failure::deadline:
      return target_failure::deadline;
    case http_failure::no_memory:
    case http_failure::broken:
      break;
  }
  return target_failure::broken;
}

}  // namespace

target_stream::target_stream(const dispatch_call& call,
                             std::shared_ptr<chat_assembler> assembler,
                             target_gateway::event_sink sink)
    : id_(call.id),
      sink_(std::move(sink)),
      next_offset_(call.resume_offset),
      assembler_(std::move(assembler)) {}

void target_stream::OnHeader(int status, const http_headers& headers) {
  status_ = status;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  rejected_not_run_ = (status == kTooManyRequests || status == kUnavailable) &&
                      headers.Find("X-Not-Run") == "true";
  is_stream_ = headers.Find("Content-Type").rfind("text/event-stream", 0) == 0;
  stream_id_ = headers.Find("X-Stream-Id");
  constexpr int kFirstErrorStatus = 400;
  if (status < kFirstErrorStatus) {
    sink_(target_accepted{id_, stream_id_});
  }
}

void target_stream::OnBody(std::string_view bytes) {
  if (!is_stream_) {
    body_ += bytes;
    return;
  }
  if (ended_) {
    return;
  }
  const std::vector<stream_event> events = parser_.Feed(bytes);
  if (events.empty()) {
    // A comment shows that an engine whose call still waits is alive.
    sink_(target_accepted{id_, stream_id_});
  }
  for (const stream_event& event : events) {
    TakeEvent(event);
  }
  if (parser_.is_too_long()) {
    Fail(target_failure::broken, "an event of the stream is too long");
  }
}

void target_stream::TakeEvent(const stream_event& event) {
  if (event.data == kEndOfStream) {
    complete_ = true;
    return;
  }
  // Chunks are copied and written again, which recurses for each level.
  result<json> parsed = ParseJsonBody(event.data);
  if (Failed(parsed)) {
    return;
  }
  json& chunk = ValueOf(parsed);
  std::uint64_t offset = next_offset_;
  std::from_chars(event.id.data(), event.id.data() + event.id.size(), offset);
  next_offset_ = offset + 1;
  assembler_->Add(offset, chunk);
  sink_(target_chunk{id_, offset, std::move(chunk)});
}

void target_stream::OnEnd() {
  if (is_stream_) {
    if (complete_) {
      Finish(assembler_->Answer());
    } else {
      Fail(target_failure::broken, "the stream ended early");
    }
    return;
  }
  constexpr int kFirstErrorStatus = 400;
  if (rejected_not_run_) {
    Fail(target_failure::rejected_not_run,
         "rejected before execution with status " + std::to_string(status_));
  } else if (status_ >= kFirstErrorStatus) {
    Fail(target_failure::answered_error,
         "answered with status " + std::to_string(status_));
  } else {
    const result<json> parsed = ParseJsonBody(body_);
    Finish(Failed(parsed) ? json(body_) : ValueOf(parsed));
  }
}

void target_stream::OnFailure(http_failure failure,
                              const std::string& message) {
  Fail(FailureOf(failure), message);
}

void target_stream::Finish(json body) {
  target_finished finished;
  finished.id = id_;
  if (body.is_object()) {
    const json usage = body.value("usage", json::object());
    finished.prompt_tokens = CountOf(usage, "prompt_tokens");
    finished.generated_tokens = CountOf(usage, "completion_tokens");
    if (usage.is_object()) {
      finished.cached_tokens =
          CountOf(usage.value("prompt_tokens_details", json::object()),
                  "cached_tokens");
    }
  }
  finished.body = std::move(body);
  if (!std::exchange(ended_, true)) {
    sink_(std::move(finished));
  }
}

void target_stream::Fail(target_failure failure, const std::string& message) {
  if (!std::exchange(ended_, true)) {
    sink_(target_failed{id_, failure, message});
  }
}

}  // namespace gentian
