#ifndef GENTIAN_GATEWAY_DAEMON_CRASH_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_CRASH_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_gateway_daemon/record_publisher.h"
#include "gentian_net/gentian_net.h"

namespace gentian {

/** Stops requests that crash one target after the other, whichever gateways
    they come to and under whichever IDs.

    Rendezvous hashing picks one gateway that counts the crashes of a request,
    by content and by origin. After the third one (the second one, if the
   service has few targets) it blocks that fingerprint and publishes the block
   to all gateways. A gateway that has seen a target end under a request asks
   before it sends the request again. Used on the I/O thread only.
*/
class crash_service {
 public:
  /** Runs once it is known whether the request may be sent. */
  using checked_handler = std::function<void()>;

  crash_service(http_client& peers,
                const gateway_settings& settings,
                gateway_state& state,
                record_publisher& publisher);

  /** Records that a target ended while it ran a request of this gateway, and
      asks whether the request is blocked now. */
  void OnCrash(const request_fingerprint& request,
               const target_crash& crash,
               checked_handler handler);

  /** True if a target ended under the request here, so that Check has to be
      called before it is sent. */
  bool IsSuspect(const request_fingerprint& request) const;

  /** Asks whether a suspect is blocked. The handler may run before the function
      returns. */
  void Check(const request_fingerprint& request, checked_handler handler);

  /** Records that a target has answered the request. */
  void OnAnswered(const request_fingerprint& request);

  /** Time for which the request is still blocked; 0 if it isn't. */
  milliseconds BlockedFor(const request_fingerprint& request) const;

  /** Learns the requests that other gateways have blocked, and publishes again
      what has disappeared. */
  void OnRegistry(const std::vector<kv_entry>& entries);

  /** Answers a request of another daemon; false if the path belongs to another
      service. */
  bool AnswerPeer(const std::shared_ptr<http_exchange>& exchange);

 private:
  /** The gateway that counts; nullptr if no other can be asked. */
  const member_record* CounterOf(const request_fingerprint& request) const;
  bool IsSelf(const member_record* counter) const;
  json Report(const std::string& fingerprint) const;
  void Post(const member_record& counter,
            const request_fingerprint& request,
            checked_handler handler);
  void OnCounterAnswer(const std::string& body);
  /** Blocks a request that has crashed too many targets. */
  void Decide(const std::string& fingerprint);
  void LogBlock(const std::string& fingerprint,
                milliseconds length,
                const char* source) const;
  void Publish(const std::string& fingerprint, milliseconds left);
  void Learn(const std::string& fingerprint, const std::string& published);

  peer_client peers_;
  const gateway_settings& settings_;
  gateway_state& state_;
  record_publisher& publisher_;
  crash_history history_;
  recent_answers answers_;
  blocked_requests blocked_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_CRASH_SERVICE_H_
