#include "gentian_adapters/tool_fake.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

void tool_fake::Serve(const std::shared_ptr<http_exchange>& exchange) {
  const std::string path = exchange->request().Path();
  if (path == "/load") {
    exchange->Respond(JsonResponse(
        kOk,
        {{"running", 0}, {"queued", 0}, {"cached_tokens", 0}, {"age_ms", 0}}));
  } else if (path == "/executions") {
    exchange->Respond(JsonResponse(kOk, Report()));
  } else {
    Execute(exchange);
  }
}

void tool_fake::Execute(const std::shared_ptr<http_exchange>& exchange) {
  const http_request& request = exchange->request();
  const result<json> parsed = ParseJsonBody(request.body);
  const json input = Failed(parsed) ? json() : ValueOf(parsed);
  if (input.is_object() && input.value("reject", false)) {
    http_response rejection =
        JsonResponse(kUnavailable, {{"error", "rejected"}});
    rejection.headers.Add("X-Not-Run", "true");
    exchange->Respond(std::move(rejection));
    return;
  }
  json answer{{"path", request.Path()}, {"input", input}};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer["execution"] = ++total_;
    ++by_key_[request.headers.Find("Idempotency-Key")];
    seen_.Add(request);
  }
  const milliseconds delay(
      input.is_object() ? input.value("delay_ms", std::int64_t{0}) : 0);
  pool_.After(delay, [exchange, answer = std::move(answer)] {
    exchange->Respond(JsonResponse(kOk, answer));
  });
}

json tool_fake::Report() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {{"total", total_}, {"by_key", by_key_}};
}

std::uint64_t tool_fake::Executions(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? 0 : found->second;
}

std::uint64_t tool_fake::TotalExecutions() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return total_;
}

bool tool_fake::HasSeen(const std::string& text) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return seen_.HasSeen(text);
}

}  // namespace gentian
