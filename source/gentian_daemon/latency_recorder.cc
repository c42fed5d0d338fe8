#include "gentian_daemon/latency_recorder.h"

namespace gentian {

namespace {

std::string NameOf(const caller_operation& operation) {
  return std::visit(
      [](const auto& value) {
        return std::string(std::decay_t<decltype(value)>::kType);
      },
      operation);
}

}  // namespace

void latency_recorder::Observe(const event& input, steady_time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (const auto* const request = std::get_if<caller_request>(&input)) {
    open_[request->id] = open_request{NameOf(request->operation), now};
  }
  if (const auto* const lost = std::get_if<caller_disconnected>(&input)) {
    open_.erase(lost->id);
  }
}

void latency_recorder::Observe(const reply_to_caller& reply, steady_time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = open_.find(reply.id);
  if (found == open_.end()) {
    return;
  }
  open_request& request = found->second;
  const duration latency = now - request.since;
  if (std::holds_alternative<answer_event>(reply.part)) {
    if (!request.has_events) {
      metrics_.AddLatency(request.operation + ".first_event", latency);
      request.has_events = true;
    }
    return;
  }
  // Refusals are fast and would hide a slow service.
  if (std::holds_alternative<final_answer>(reply.part)) {
    metrics_.AddLatency(request.operation, latency);
  }
  open_.erase(found);
}

void latency_recorder::CountRefusal(error_kind kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  refusals_.Add(std::string("refused.") + gentian::NameOf(kind));
}

void latency_recorder::CountUnread(const std::string& counter) {
  const std::lock_guard<std::mutex> lock(mutex_);
  refusals_.Add(counter);
}

std::string latency_recorder::ToPrometheus(
    const counter_set& node_counters,
    const std::map<std::string, double>& gauges) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counter_set all = node_counters;
  DeclareReasons(all);
  for (const auto& [name, value] : refusals_.values()) {
    all.Add(name, value);
  }
  for (const auto& [name, value] : gauges) {
    metrics_.SetGauge(name, value);
  }
  metrics_.SetGauge("open_requests", static_cast<double>(open_.size()));
  return metrics_.ToPrometheus(all);
}

}  // namespace gentian
