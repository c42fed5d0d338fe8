#ifndef GENTIAN_GATEWAY_DAEMON_GATEWAY_DAEMON_H_
#define GENTIAN_GATEWAY_DAEMON_GATEWAY_DAEMON_H_

#include <array>
#include <functional>
#include <memory>

#include "gentian_gateway_daemon/gateway_call.h"
#include "gentian_gateway_daemon/state_reader.h"
#include "gentian_net/connection_bounds.h"

namespace gentian {

/** Forwards requests of callers to targets. Runs on the single thread of the
    pool.
*/
class gateway_daemon {
 public:
  /** @param incarnation  unique for each start */
  gateway_daemon(io_pool& pool,
                 key_value_store& store,
                 const gateway_protocol& protocol,
                 gateway_settings settings,
                 const std::string& incarnation);
  ~gateway_daemon();

  /** Starts the listeners and the polling of the key-value service. Does
      neither, and can be called again, if an address is still in use. */
  result<success> Start();

  /** Finishes the requests in progress and takes no new callers. What can't be
      expected to end in the grace time is refused at once; what has not ended
      then is answered.

      @param on_stopped  runs once nothing is in progress, at the latest
                         shortly before the grace time ends */
  void Stop(std::function<void()> on_stopped);

 private:
  /** One of the servers below. */
  struct listener {
    const char* name;
    http_server gateway_daemon::*server;
  };
  static const std::array<listener, 4> kListeners;

  result<success> Bind();
  void ApplyCallerLimits();
  void AnswerReadiness(http_exchange& exchange) const;
  void AnswerDirectory(http_exchange& exchange) const;
  /** The gateways that the directory may name. */
  std::vector<named_gateway> NamedGateways() const;
  std::string RegionOf(const member_record& member) const;
  void AnswerPeer(const std::shared_ptr<http_exchange>& exchange);
  /** Sets the gauges of the shares that leave failure domains. */
  void ReportDomains();
  http_response RefuseUnread(const http_request& begin, const error& reason);
  void FinishStop(const repeating_task::round& round);
  bool IsAnswering() const;
  // The last steps.
  void CloseListeners();
  void LogEnd();
  void EndCalls();
  void ReleaseTurns();
  void Deregister();

  io_pool& pool_;
  const gateway_protocol& protocol_;
  const gateway_settings settings_;
  const connection_bounds bounds_;
  gateway_state state_;
  http_client target_client_;
  http_client peer_client_;
  allowance_service allowances_;
  record_publisher publisher_;
  target_limit_service limits_;
  crash_service crashes_;
  turn_service turns_;
  history_service histories_;
  stream_origin_service origins_;
  path_service paths_;
  state_reader reader_;
  open_call_set open_calls_;
  gateway_environment environment_;
  http_server callers_;
  http_server readiness_;
  http_server directory_;
  http_server peers_;
  std::function<void()> on_stopped_;
  repeating_task stopping_;
  /** Number of the last steps that were begun. */
  std::size_t end_step_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_GATEWAY_DAEMON_H_
