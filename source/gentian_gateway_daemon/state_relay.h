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

/** Passes listings of the key-value service on between gateways: answers those
    that follow this one, and follows another one if this gateway is no reader
    or can't read. Used on the I/O thread only.

    One question to the source covers all listings and is held back until
    something changes. Large changes are named there and asked for apart.
*/
class state_relay {
 public:
  /** Runs after listing number `index` was confirmed by another gateway. */
  using confirmed_handler =
      std::function<void(std::size_t index, shared_listing::outcome outcome)>;

  /** @param start         unique for each start of a daemon
      @param listings      the same ones, in the same order, at every gateway
      @param on_confirmed  see there */
  state_relay(io_pool& pool,
              http_client& peers,
              gateway_state& state,
              std::string start,
              std::vector<shared_listing>& listings,
              listing_monitor& monitor,
              confirmed_handler on_confirmed);

  void Start();

  /** Time until a listing is so old that this gateway should read it itself;
      not positive from then on. */
  duration TimeUntilStale(std::size_t index) const;

  bool IsStale(std::size_t index) const {
    return TimeUntilStale(index) <= duration(0);
  }

  /** Tells the followers, after this gateway has read a change itself. */
  void OnChanged(std::size_t index);

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

  /** How far the changes of one listing at a source are known here. */
  struct listing_position {
    /** The last change that this gateway has. */
    std::uint64_t cursor = 0;
    /** The last change that the source has told of. */
    std::uint64_t told = 0;
  };

  struct source_position {
    /** The start of the source to which the cursors belong. */
    std::string start;
    std::vector<listing_position> listings;
  };

  /** Changes as they were packed for a follower. */
  struct packed_changes {
    std::uint64_t from = 0;
    std::uint64_t cursor = 0;
    std::shared_ptr<const std::string> bytes;
  };

  /** A question to a source. */
  struct question {
    std::string address;
    relay_request request;
    steady_time sent_at;
  };

  bool HasNews(const relay_request& request) const;
  bool IsSame(const relay_request& request, std::size_t index) const;
  void Respond(const follower& waiting);
  relayed_listing Describe(const relay_request& request, std::size_t index);
  std::shared_ptr<const std::string> Pack(std::size_t index,
                                          std::uint64_t from,
                                          const listing_changes& changes);
  void ReleaseHeld(const repeating_task::round& round);
  duration TimeUntilRelease() const;

  void Follow(const repeating_task::round& round);
  void OnAnswer(const repeating_task::round& round,
                const question& asked,
                const http_response& response);
  result<relay_answer> Decode(const http_response& response) const;
  void Fetch(std::size_t index, const std::string& address);
  void OnFetched(std::size_t index,
                 const repeating_task::round& fetch,
                 const question& asked,
                 const http_response& response);
  void EndFetch(std::size_t index);
  relay_request RequestTo(const source_position& position) const;
  source_position& PositionOf(const std::string& address);
  void Apply(const relay_answer& answer, const question& asked);
  void ApplyListing(std::size_t index,
                    const relayed_listing& relayed,
                    const question& asked,
                    duration transit);
  void TellChange(std::size_t index, const listing_position* changed_by);
  void TryNextSource(const repeating_task::round& round, duration delay);
  bool IsAnyStale() const;
  std::string SourceAddress() const;

  peer_client peers_;
  gateway_state& state_;
  const std::string start_;
  std::vector<shared_listing>& listings_;
  listing_monitor& monitor_;
  confirmed_handler on_confirmed_;
  std::list<follower> followers_;
  /** Answers held followers while there are any. */
  repeating_task holding_;
  bool is_holding_ = false;
  /** Number of the source that is asked. */
  std::size_t source_ = 0;
  /** By address. */
  std::map<std::string, source_position> positions_;
  /** By listing: whether it is being asked for apart. */
  std::vector<bool> is_fetching_;
  repeating_task follow_;
  /** By listing: ends what is asked for apart, where no answer does. */
  std::vector<std::unique_ptr<repeating_task>> fetches_;
  /** By listing: the last changes that were packed. */
  std::vector<std::list<packed_changes>> packed_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_STATE_RELAY_H_
