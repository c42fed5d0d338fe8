#ifndef GENTIAN_GATEWAY_DAEMON_STREAM_ORIGIN_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_STREAM_ORIGIN_SERVICE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_turns/gentian_turns.h"

namespace gentian {

/** Records which software began each resumable stream, and finds it out for a
    caller that resumes a stream, at any gateway.

    The records lie on the disks of the turn stores, so that they outlive the
    gateways. Used on the I/O thread only.
*/
class stream_origin_service {
 public:
  /** The record of one stream while its request is in progress. */
  class recording;

  /** Runs when a record has become durable, or can't become so. */
  using settled_handler = std::function<void()>;
  /** Receives the origin; nothing if it can't be found out. */
  using find_handler = std::function<void(std::optional<stream_origin>)>;

  stream_origin_service(io_pool& pool,
                        http_client& peers,
                        const gateway_settings& settings,
                        gateway_state& state);

  /** Starts to record a request. */
  std::shared_ptr<recording> Start(const turn_key& stream);

  /** Records the target that the request is sent to, in place of an earlier
      one.

      @param on_settled  runs at most once, and not after the next Record */
  void Record(const std::shared_ptr<recording>& subject,
              const stream_origin& origin,
              settled_handler on_settled);

  /** Records that the stream's first event is passed on. */
  void Begin(const recording& subject);

  /** Finds the origin of a stream. Asks again while a store that may hold it
      does not answer. The handler may run before the function returns.

      @param request_id  the request that resumes the stream, for logs
      @param limit       longest time to look for it */
  void Find(const std::string& request_id,
            const turn_key& stream,
            milliseconds limit,
            find_handler handler);

 private:
  struct search;

  void Write(const std::shared_ptr<recording>& subject,
             const origin_write::sends& hosts);
  void Settle(const std::shared_ptr<recording>& subject);
  void ArmWriteTimer(const std::shared_ptr<recording>& subject);

  void StartRound(const std::shared_ptr<search>& subject);
  void Ask(const std::shared_ptr<search>& subject,
           const origin_lookup::asks& hosts);
  void OnAnswer(const std::shared_ptr<search>& subject,
                const std::string& host,
                const http_response& response);
  void ArmSearchTimer(const std::shared_ptr<search>& subject);
  void FinishSearch(const std::shared_ptr<search>& subject,
                    std::optional<stream_origin> origin,
                    const char* outcome);

  std::string AddressOf(const std::string& host) const;
  std::size_t copies() const;

  io_pool& pool_;
  peer_client writers_;
  peer_client readers_;
  const gateway_settings& settings_;
  gateway_state& state_;
  /** Origins of streams that began at this gateway, bounded. */
  std::map<std::pair<std::string, std::string>, stream_origin> begun_;
  std::deque<std::pair<std::string, std::string>> begun_order_;
};

/** @see stream_origin_service */
class stream_origin_service::recording {
 public:
  recording(turn_key stream, std::vector<std::string> hosts, std::size_t copies)
      : write_(std::move(hosts), copies) {
    stored_.key = std::move(stream);
  }

  /** The target that the request was last sent to. */
  const stream_origin& origin() const { return stored_.origin; }
  /** The record is on enough disks. */
  bool IsDurable() const { return write_.IsDurable(); }
  /** A reader can't find other software, of an earlier send. */
  bool IsConsistent() const {
    return !has_changed_software_ || write_.IsConsistent();
  }

 private:
  friend class stream_origin_service;

  stored_origin stored_;
  origin_write write_;
  bool has_changed_software_ = false;
  settled_handler on_settled_;
  steady_time started_at_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_STREAM_ORIGIN_SERVICE_H_
