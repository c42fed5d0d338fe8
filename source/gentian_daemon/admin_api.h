#ifndef GENTIAN_DAEMON_ADMIN_API_H_
#define GENTIAN_DAEMON_ADMIN_API_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "gentian_daemon/admin_call.h"
#include "gentian_daemon/latency_recorder.h"
#include "gentian_net/http_server.h"

namespace gentian {

/** The operators' HTTP interface: `/admin/v1/…`, `/metrics`, `/health` and
    `/ready`. Turns requests into events and replies into answers, and writes
    an audit line for each change and refused change. Thread-safe.
*/
class admin_api {
 public:
  using event_sink = std::function<void(event)>;
  using log_sink = std::function<void(const write_log&)>;

  /** @param sink       receives admin_request
      @param log        receives audit lines
      @param keys       operators by the SHA-256 of their key
      @param latencies  source of the metrics page; must outlive this object
  */
  admin_api(event_sink sink,
            log_sink log,
            operator_keys keys,
            latency_recorder& latencies);

  /** Takes a request; the handler of an http_server. */
  void Handle(const std::shared_ptr<http_exchange>& exchange);

  /** Sends an answer. Answers to requests that have expired are dropped. */
  void Reply(const reply_to_operator& reply);

  /** Ends requests that the node has not answered in time. To be called about
      every second.
  */
  void Expire(steady_time now);

  /** Makes `/ready` fail from now on. */
  void StartDraining();

 private:
  enum class purpose { operation, metrics, health, readiness };

  struct pending {
    std::shared_ptr<http_exchange> exchange;
    purpose kind = purpose::operation;
    steady_time deadline;
    /** Empty for anything but an operation. */
    std::optional<admin_call> call;
  };

  void Probe(const std::shared_ptr<http_exchange>& exchange, purpose kind);
  void Ask(pending entry, admin_operation operation);
  void Answer(const pending& entry, const result<json>& answer);
  http_response MetricsPage(const json& status);
  http_response Readiness(const json& status);

  event_sink sink_;
  log_sink log_;
  const operator_keys keys_;
  latency_recorder& latencies_;
  std::mutex mutex_;
  request_id last_id_ = 0;
  bool draining_ = false;
  std::map<request_id, pending> pending_;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_ADMIN_API_H_
