#ifndef GENTIAN_GATEWAY_DAEMON_STATE_RELAY_H_
#define GENTIAN_GATEWAY_DAEMON_STATE_RELAY_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/listing_monitor.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_gateway_daemon/relay_messages.h"

namespace gentian {

/** The latest content of one listing, and its age. */
struct shared_listing {
  /** For logs and metrics. */
  std::string name;
  listing_content content{};
  /** When the listing that the content is from was asked for. */
  std::optional<steady_time> asked_at{};
};

/** Passes listings of the key-value service on between gateways: answers those
    that follow this one, and follows another one if this gateway is no reader
   or can't read. Used on the I/O thread only.
*/
class state_relay {
 public:
  /** Runs after listing number `index` was confirmed by another gateway. */
  using confirmed_handler = std::function<void(std::size_t index)>;

  /** @param start         unique for each start of a daemon
      @param listings      the same ones, in the same order, at every gateway
      @param on_confirmed  see there */
  state_relay(io_pool& pool,
              http_client& peers,
              const gateway_settings& settings,
              gateway_state& state,
              std::string start,
              std::vector<shared_listing>& listings,
              listing_monitor& monitor,
              confirmed_handler on_confirmed);

  void Start();

  /** True if the listing is so old that this gateway should read it itself. */
  bool IsStale(std::size_t index) const;

  /** Tells the followers, after this gateway has read a listing itself.

      @param changed  whether its content changed */
  void OnListing(std::size_t index, bool changed);

  /** Asks the sources to read the registry of the key-value service again. */
  void RequestRefresh();

  /** Answers a request of another daemon; false if the path belongs to another
      service. */
  bool AnswerPeer(const std::shared_ptr<http_exchange>& exchange);

 private:
  struct follower {
    std::shared_ptr<http_exchange> exchange;
    relay_request request;
    steady_time since;
  };

  /** How far a source's changes are known. */
  struct source_position {
    /** The start of the source to which the cursors belong. */
    std::string start;
    std::vector<std::uint64_t> cursors;
  };

  bool HasNews(const relay_request& request) const;
  void Respond(const follower& waiting);
  void ReleaseHeld();
  void ArmHoldTimer();

  void Follow();
  void OnAnswer(const std::string& address,
                steady_time sent_at,
                const http_response& response);
  void Apply(const relay_answer& answer,
             source_position& position,
             steady_time sent_at);
  void OnChanged(std::size_t index, const source_position* changed_by);
  void TryNextSource(duration delay);
  bool IsAnyStale() const;
  std::string SourceAddress() const;

  io_pool& pool_;
  peer_client peers_;
  const gateway_settings& settings_;
  gateway_state& state_;
  const std::string start_;
  std::vector<shared_listing>& listings_;
  listing_monitor& monitor_;
  confirmed_handler on_confirmed_;
  std::list<follower> followers_;
  bool hold_timer_armed_ = false;
  /** Number of the source that is asked. */
  std::size_t source_ = 0;
  /** By address. */
  std::map<std::string, source_position> positions_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_STATE_RELAY_H_
