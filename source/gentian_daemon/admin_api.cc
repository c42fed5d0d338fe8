#include "gentian_daemon/admin_api.h"

#include <utility>
#include <vector>

namespace gentian {

namespace {

constexpr int kOk = 200;
// A tick comes every 50 ms; a loop that is silent for 40 of them is stuck.
constexpr milliseconds kProbeDeadline{2'000};
// An apply can wait for several deadlines of the key-value client, 2 s each.
constexpr milliseconds kOperationDeadline{30'000};
constexpr std::size_t kMostPending = 1'000;

bool Changes(const admin_call& call) {
  return std::holds_alternative<apply_changes>(call.operation) ||
         std::holds_alternative<withdraw_key>(call.operation);
}

error NoAnswer(bool changes) {
  if (changes) {
    return error{error_kind::outcome_unknown,
                 "the daemon did not confirm the change in time",
                 "read the settings and the history before trying again",
                 call_outcome::unknown};
  }
  return error{error_kind::unavailable, "the decision loop does not answer",
               "read the log; restart the daemon if this stays so"};
}

// Numbers at the top level of the status are gauges.
std::map<std::string, double> GaugesOf(const json& status) {
  std::map<std::string, double> gauges;
  for (const auto& [name, value] : status.items()) {
    if (value.is_number()) {
      gauges[name] = value.get<double>();
    } else if (value.is_array()) {
      gauges[name] = static_cast<double>(value.size());
    }
  }
  return gauges;
}

counter_set CountersOf(const json& status) {
  counter_set counters;
  const auto found = status.find("counters");
  if (found == status.end() || !found->is_object()) {
    return counters;
  }
  for (const auto& [name, value] : found->items()) {
    if (value.is_number_unsigned()) {
      counters.Add(name, value.get<std::uint64_t>());
    }
  }
  return counters;
}

}  // namespace

admin_api::admin_api(event_sink sink,
                     log_sink log,
                     operator_keys keys,
                     latency_recorder& latencies)
    : sink_(std::move(sink)),
      log_(std::move(log)),
      keys_(std::move(keys)),
      latencies_(latencies) {}

void admin_api::Handle(const std::shared_ptr<http_exchange>& exchange) {
  const http_request& request = exchange->request();
  const std::string authorization = request.headers.Find("Authorization");
  const std::string path = request.Path();
  // Load balancers and process supervisors probe without a key.
  if (request.method == "GET" && path == "/health") {
    Probe(exchange, purpose::health);
    return;
  }
  if (request.method == "GET" && path == "/ready") {
    Probe(exchange, purpose::readiness);
    return;
  }
  if (request.method == "GET" && path == "/metrics") {
    const auto name = AuthenticateOperator(authorization, keys_);
    if (Failed(name)) {
      exchange->Respond(ErrorResponse(ErrorOf(name)));
      return;
    }
    Probe(exchange, purpose::metrics);
    return;
  }
  auto call = ReadAdminCall(
      {request.method, request.target, authorization, request.body}, keys_);
  if (Failed(call)) {
    if (ErrorOf(call).kind == error_kind::unauthorized) {
      log_({log_level::warning, "audit",
            json{{"operation", "unknown key"}, {"path", path}}});
    }
    exchange->Respond(ErrorResponse(ErrorOf(call)));
    return;
  }
  pending entry;
  entry.exchange = exchange;
  entry.deadline = std::chrono::steady_clock::now() + kOperationDeadline;
  entry.call = ValueOf(call);
  Ask(std::move(entry), ValueOf(call).operation);
}

void admin_api::Probe(const std::shared_ptr<http_exchange>& exchange,
                      purpose kind) {
  pending entry;
  entry.exchange = exchange;
  entry.kind = kind;
  entry.deadline = std::chrono::steady_clock::now() + kProbeDeadline;
  Ask(std::move(entry), read_status{});
}

void admin_api::Ask(pending entry, admin_operation operation) {
  request_id id = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pending_.size() < kMostPending) {
      id = ++last_id_;
      pending_.emplace(id, entry);
    }
  }
  if (id == 0) {
    entry.exchange->Respond(ErrorResponse(
        error{error_kind::overloaded, "too many operators' requests are open",
              "retry later"}));
    return;
  }
  sink_(admin_request{id, std::move(operation)});
}

void admin_api::Reply(const reply_to_operator& reply) {
  pending entry;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = pending_.find(reply.id);
    if (found == pending_.end()) {
      return;
    }
    entry = std::move(found->second);
    pending_.erase(found);
  }
  Answer(entry, reply.answer);
}

void admin_api::Expire(steady_time now) {
  std::vector<pending> expired;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto it = pending_.begin(); it != pending_.end();) {
      if (now < it->second.deadline) {
        ++it;
        continue;
      }
      expired.push_back(std::move(it->second));
      it = pending_.erase(it);
    }
  }
  for (const pending& entry : expired) {
    Answer(entry, NoAnswer(entry.call && Changes(*entry.call)));
  }
}

void admin_api::StartDraining() {
  const std::lock_guard<std::mutex> lock(mutex_);
  draining_ = true;
}

void admin_api::Answer(const pending& entry, const result<json>& answer) {
  if (entry.call) {
    if (const auto line = AuditLine(*entry.call, answer)) {
      log_(*line);
    }
  }
  if (Failed(answer)) {
    entry.exchange->Respond(ErrorResponse(ErrorOf(answer)));
    return;
  }
  switch (entry.kind) {
    case purpose::operation:
      entry.exchange->Respond(JsonResponse(kOk, ValueOf(answer)));
      return;
    case purpose::metrics:
      entry.exchange->Respond(MetricsPage(ValueOf(answer)));
      return;
    case purpose::health:
      entry.exchange->Respond(JsonResponse(kOk, json{{"healthy", true}}));
      return;
    case purpose::readiness:
      entry.exchange->Respond(Readiness(ValueOf(answer)));
      return;
  }
}

http_response admin_api::MetricsPage(const json& status) {
  http_response page;
  page.headers.Add("Content-Type", "text/plain; version=0.0.4");
  page.body = latencies_.ToPrometheus(CountersOf(status), GaugesOf(status));
  return page;
}

http_response admin_api::Readiness(const json& status) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (draining_) {
      return ErrorResponse(error{error_kind::draining,
                                 "a planned stop is in progress",
                                 "use another daemon"});
    }
  }
  const auto ready = status.find("ready");
  if (ready != status.end() && *ready == false) {
    return ErrorResponse(
        error{error_kind::not_ready, "no configuration is in force",
              "check the key-value service, or apply the first settings with "
              "`gentianrun admin apply`"});
  }
  return JsonResponse(kOk, json{{"ready", true}});
}

}  // namespace gentian
