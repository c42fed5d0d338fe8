#include "gentian_daemon/daemon_health.h"

namespace gentian {

namespace {

// A tick comes every 50 ms; a loop that is silent for 40 of them is stuck.
constexpr milliseconds kLongestTickGap{2'000};

}  // namespace

result<json> daemon_health::Health(steady_time now) const {
  if (!last_tick_) {
    return error{error_kind::not_ready, "the decision loop has not started",
                 "wait a few seconds; then read the log for a failed start"};
  }
  if (now - *last_tick_ > kLongestTickGap) {
    return error{error_kind::unavailable, "the decision loop does not run",
                 "restart the daemon"};
  }
  return json{{"healthy", true}};
}

result<json> daemon_health::Readiness(steady_time now) const {
  result<json> health = Health(now);
  if (Failed(health)) {
    return health;
  }
  if (draining_) {
    return error{error_kind::draining, "a planned stop is in progress",
                 "use another daemon"};
  }
  if (version_ == 0) {
    return error{error_kind::not_ready, "no configuration is in force",
                 "check the key-value service, or apply the first settings "
                 "with `gentianrun admin apply`"};
  }
  return json{{"ready", true}, {"version", version_}};
}

}  // namespace gentian
