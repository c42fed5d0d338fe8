#include "gentian_daemon/daemon_metrics.h"

#include <array>
#include <sstream>

namespace gentian {

namespace {

constexpr const char* kPrefix = "gentian_";

// Metric names take letters, digits and `_`.
std::string MetricName(const std::string& text) {
  std::string name = kPrefix;
  for (const char c : text) {
    const bool usable = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                        (c >= '0' && c <= '9');
    name += usable ? c : '_';
  }
  return name;
}

std::string LabelValue(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

// `refused.rate_limited` becomes the metric `gentian_refused_total` with the
// label `reason="rate_limited"`, so that one query covers all reasons.
void WriteCounters(const counter_set& counters, std::ostream& out) {
  std::string previous;
  for (const auto& [name, value] : counters.values()) {
    const auto dot = name.find('.');
    const std::string metric = MetricName(name.substr(0, dot)) + "_total";
    if (metric != previous) {
      out << "# TYPE " << metric << " counter\n";
      previous = metric;
    }
    out << metric;
    if (dot != std::string::npos) {
      out << "{reason=\"" << LabelValue(name.substr(dot + 1)) << "\"}";
    }
    out << ' ' << value << '\n';
  }
}

void WriteLatency(const std::string& operation,
                  const latency_distribution& latency,
                  std::ostream& out) {
  static constexpr std::array<std::pair<const char*, double>, 3> kQuantiles = {
      {{"0.5", 0.5}, {"0.95", 0.95}, {"0.99", 0.99}}};
  const std::string label = "operation=\"" + LabelValue(operation) + "\"";
  for (const auto& [text, probability] : kQuantiles) {
    out << "gentian_latency_seconds{" << label << ",quantile=\"" << text
        << "\"} " << latency.QuantileSeconds(probability) << '\n';
  }
  out << "gentian_latency_seconds_sum{" << label << "} " << latency.SumSeconds()
      << '\n';
  out << "gentian_latency_seconds_count{" << label << "} " << latency.count()
      << '\n';
}

}  // namespace

void daemon_metrics::AddLatency(const std::string& operation, duration value) {
  latencies_[operation].Add(value);
}

void daemon_metrics::SetGauge(const std::string& name, double value) {
  gauges_[name] = value;
}

std::string daemon_metrics::ToPrometheus(const counter_set& counters) const {
  std::ostringstream out;
  WriteCounters(counters, out);
  for (const auto& [name, value] : gauges_) {
    const std::string metric = MetricName(name);
    out << "# TYPE " << metric << " gauge\n" << metric << ' ' << value << '\n';
  }
  if (!latencies_.empty()) {
    out << "# TYPE gentian_latency_seconds summary\n";
  }
  for (const auto& [operation, latency] : latencies_) {
    WriteLatency(operation, latency, out);
  }
  return out.str();
}

void DeclareReasons(counter_set& counters) {
  for (int kind = 0; kind <= static_cast<int>(error_kind::internal); ++kind) {
    counters.Add(
        std::string("refused.") + NameOf(static_cast<error_kind>(kind)), 0);
  }
  for (int failure = 0;
       failure <= static_cast<int>(target_failure::answered_error); ++failure) {
    counters.Add(
        std::string("retried.") + NameOf(static_cast<target_failure>(failure)),
        0);
  }
}

const char* NameOf(target_failure failure) {
  static constexpr std::array<const char*, 6> kNames = {
      "not_sent", "rejected_not_run", "broken",
      "silent",   "deadline",         "answered_error"};
  return kNames.at(static_cast<std::size_t>(failure));
}

}  // namespace gentian
