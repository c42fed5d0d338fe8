#ifndef GENTIAN_DAEMON_CALLER_API_H_
#define GENTIAN_DAEMON_CALLER_API_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "gentian_daemon/caller_request_reader.h"
#include "gentian_decisions/gentian_decisions.h"
#include "gentian_net/http_server.h"

namespace gentian {

/** The callers' HTTP interface: turns requests into events and replies into
    answers. Thread-safe.
*/
class caller_api {
 public:
  using event_sink = std::function<void(event)>;

  /** @param sink        receives caller_request and caller_disconnected
      @param overloaded  true if new requests must be refused
      @param on_refused  told of requests that do not reach the sink
  */
  caller_api(event_sink sink,
             std::function<bool()> overloaded,
             std::function<void(error_kind)> on_refused);

  /** Takes a request; the handler of an http_server. */
  void Handle(const std::shared_ptr<http_exchange>& exchange);

  /** Sends a part of an answer. Parts for lost callers are dropped. */
  void Reply(const reply_to_caller& reply);

  /** Starts the answer of streams that have waited for a while, so that their
      callers get comment lines. To be called several times a second.
  */
  void StartQuietStreams();

  /** Requests that have not been answered in full. */
  std::size_t open_requests() const;

 private:
  struct pending {
    std::shared_ptr<http_exchange> exchange;
    steady_time since;
    session_id session;
    bool streams = false;
    bool started = false;
    /** True if the caller has received all earlier events of the call. */
    bool resumed = false;
    std::uint64_t call = 0;
    std::uint64_t events_sent = 0;
  };
  using pending_map = std::unordered_map<request_id, pending>;

  void Disconnected(request_id id);
  static void StartStream(pending& entry);
  static void SendPart(pending& entry, const answer_event& part);
  static void SendPart(pending& entry, const final_answer& part);
  static void SendPart(pending& entry, const error& part);

  event_sink sink_;
  std::function<bool()> overloaded_;
  std::function<void(error_kind)> on_refused_;
  mutable std::mutex mutex_;
  request_id last_id_ = 0;
  pending_map pending_;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_CALLER_API_H_
