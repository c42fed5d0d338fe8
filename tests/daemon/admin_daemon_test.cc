#include <criterion/criterion.h>

#include <future>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_daemon/gentian_daemon.h"

using gentian::http_client_request;
using gentian::http_response;

namespace {

http_response Fetch(gentian::io_pool& pool,
                    const std::string& address,
                    const std::string& target,
                    const std::string& key) {
  http_client_request request;
  request.address = address;
  request.target = target;
  request.headers.Add("Authorization", "Bearer " + key);
  gentian::http_client client(pool);
  auto promise = std::make_shared<std::promise<http_response>>();
  auto answered = promise->get_future();
  const auto call = client.Fetch(
      request,
      [promise](const http_response& answer) { promise->set_value(answer); },
      [promise](gentian::http_failure, const std::string& message) {
        promise->set_value(http_response{0, {}, message});
      });
  return answered.get();
}

}  // namespace

// Guards against an administration API that a real daemon does not serve, or
// serves without a key, and against refusals that the metrics page leaves out.
Test(admin_daemon, a_daemon_serves_health_metrics_and_status) {
  gentian::io_pool pool(2);
  gentian::http_target_gateway targets(pool);
  gentian::daemon_options options;
  options.host = gentian::host_id("h1");
  options.admin_address = "127.0.0.1:0";
  options.operators_by_key_hash = {{gentian::Sha256Hex("k"), "ana"}};
  gentian::configuration settings;
  settings.version = 1;
  gentian::daemon_settings self;
  self.host = options.host;
  settings.daemons[options.host] = self;
  gentian::daemon subject(options, gentian::initial_settings(settings), pool,
                          {nullptr, &targets, nullptr});
  cr_assert_not(gentian::Failed(subject.Start()));
  const std::string admin = subject.admin_address();
  cr_assert_eq(Fetch(pool, admin, "/health", "").status, 200);
  cr_assert_eq(Fetch(pool, admin, "/metrics", "wrong").status, 401);
  cr_assert_eq(Fetch(pool, admin, "/admin/v1/status", "wrong").status, 401);
  const auto status = Fetch(pool, admin, "/admin/v1/status", "k");
  cr_assert_eq(status.status, 200, "%s", status.body.c_str());
  cr_assert(gentian::json::parse(status.body).contains("counters"));
  Fetch(pool, subject.caller_address(), "/v1/sessions/x/history", "none");
  Fetch(pool, subject.caller_address(), "/v1/sessions/x/calls/y/events", "k");
  const auto metrics = Fetch(pool, admin, "/metrics", "k");
  cr_assert(metrics.body.find("gentian_refused_total{reason=\"malformed_"
                              "request\"} 1") != std::string::npos,
            "%s", metrics.body.c_str());
  subject.RequestStop();
  cr_assert_not(gentian::Failed(subject.WaitUntilStopped()));
}
