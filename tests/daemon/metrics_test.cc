#include <criterion/criterion.h>

#include "gentian_daemon/gentian_daemon.h"

using gentian::counter_set;
using gentian::daemon_metrics;
using gentian::latency_distribution;
using gentian::milliseconds;

namespace {

bool Has(const std::string& page, const std::string& line) {
  return page.find(line + "\n") != std::string::npos;
}

}  // namespace

// Guards against percentiles that are wrong with few samples, where the
// estimator is not defined, or far off with many.
Test(latency_distribution, percentiles_are_near_the_exact_ones) {
  latency_distribution latency;
  cr_assert_float_eq(latency.QuantileSeconds(0.99), 0, 1e-9);
  latency.Add(milliseconds(30));
  latency.Add(milliseconds(10));
  latency.Add(milliseconds(20));
  cr_assert_float_eq(latency.QuantileSeconds(0.5), 0.020, 1e-9);
  cr_assert_float_eq(latency.QuantileSeconds(0.99), 0.030, 1e-9);
  latency_distribution many;
  gentian::seeded_random random(3);
  for (int i = 0; i < 20'000; ++i) {
    many.Add(milliseconds(random.Below(1'000)));
  }
  cr_assert_float_eq(many.QuantileSeconds(0.5), 0.5, 0.02);
  cr_assert_float_eq(many.QuantileSeconds(0.95), 0.95, 0.02);
  cr_assert_float_eq(many.QuantileSeconds(0.99), 0.99, 0.01);
  cr_assert_eq(many.count(), 20'000);
}

// Guards against a refusal or retry reason that a dashboard can not see until
// it has happened.
Test(daemon_metrics, every_reason_is_on_the_page) {
  counter_set counters;
  gentian::DeclareReasons(counters);
  counters.Add("refused.rate_limited", 7);
  daemon_metrics metrics;
  metrics.AddLatency("model \"call\"", milliseconds(250));
  metrics.SetGauge("engines", 9);
  const std::string page = metrics.ToPrometheus(counters);
  cr_assert(Has(page, "gentian_refused_total{reason=\"rate_limited\"} 7"));
  cr_assert(Has(page, "gentian_refused_total{reason=\"internal\"} 0"));
  cr_assert(Has(page, "gentian_retried_total{reason=\"not_sent\"} 0"));
  cr_assert(Has(page, "gentian_retried_total{reason=\"answered_error\"} 0"));
  cr_assert(Has(page, "gentian_engines 9"));
  cr_assert(Has(page,
                "gentian_latency_seconds{operation=\"model \\\"call\\\"\","
                "quantile=\"0.99\"} 0.25"));
  // Each metric has one TYPE line; a second one makes scrapers drop the page.
  const std::string type = "# TYPE gentian_refused_total counter";
  cr_assert_eq(page.find(type), page.rfind(type));
}
