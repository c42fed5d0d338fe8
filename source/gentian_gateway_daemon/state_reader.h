#ifndef GENTIAN_GATEWAY_DAEMON_STATE_READER_H_
#define GENTIAN_GATEWAY_DAEMON_STATE_READER_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_gateway_daemon/gateway_protocol.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/lease_registration.h"
#include "gentian_gateway_daemon/listing_monitor.h"
#include "gentian_gateway_daemon/state_relay.h"

namespace gentian {

/** Keeps a gateway_state up to date from the key-value service, directly or
    through other gateways, and keeps this daemon registered there. Used on the
    I/O thread only.
    @see relay_tree
*/
class state_reader {
 public:
  /** Receives the entries of a listing. */
  using registry_handler =
      std::function<void(const std::vector<kv_entry>& entries)>;

  /** @param start             unique for each start of a daemon
      @param on_configuration  runs after a new configuration is applied
      @param on_registry       runs after each listing of the registry */
  state_reader(io_pool& pool,
               key_value_store& store,
               http_client& peers,
               const gateway_protocol& protocol,
               const gateway_settings& settings,
               gateway_state& state,
               std::string start,
               std::function<void()> on_configuration,
               registry_handler on_registry);

  void Start();

  /** Marks this daemon's member record as stopping, so that callers are sent
      elsewhere. Precondition: `planned_stop::HasBegun`. */
  void AnnounceStop();

  /** Removes the registration. */
  void Deregister();

  /** Has the readers of the key-value service read the registry at once, after
      this gateway has changed it. */
  void Refresh();

  /** Reads the targets from the key-value service, also if this gateway learns
      them from others otherwise. Calls that come during a read share the next
      one.

      @param handler  receives whether they were read by a call that was sent
                      after this one */
  void ReadTargets(std::function<void(bool is_read)> handler);

  /** Brings the metrics of the listings up to date. */
  void ReportAges();

  /** Answers a request of another daemon; false if the path belongs to another
      service. */
  bool AnswerPeer(const std::shared_ptr<http_exchange>& exchange);

 private:
  /** A key prefix that is followed, and the state of its reading. */
  struct listing {
    const char* name;
    std::string prefix;
    /** Time between reads while changes can't be watched. */
    duration interval;
    void (state_reader::*apply)(bool has_changed, steady_time asked_at);
    int failures = 0;
    bool reached = false;
    steady_time last_answer{};
    /** Revision up to which changes are known; 0 if everything has to be
        read. */
    std::uint64_t followed_to = 0;
    /** Changes of the content that came from elsewhere. */
    std::uint64_t outside_changes = 0;
    int watch_failures = 0;
    steady_time watch_not_before{};
  };

  /** One round of the polling of a listing. */
  using poll_round = repeating_task::round;

  /** A call that reads a listing. */
  struct read_call {
    std::size_t index;
    poll_round round;
    steady_time asked_at;
    /** Time for which the service may wait for a change. */
    milliseconds wait{0};
    std::uint64_t outside_changes = 0;
  };

  void Poll(std::size_t index, const poll_round& round);
  void ReportAge(std::size_t index);
  void Read(std::size_t index, const poll_round& round);
  void List(std::size_t index, const poll_round& round);
  void Watch(std::size_t index, const poll_round& round);
  void StartReadingMembers();
  void OnListed(const read_call& call, const kv_answer& answer);
  void OnWatched(const read_call& call, const kv_answer& answer);
  void OnWatchFailed(const read_call& call, const kv_answer& answer);
  shared_listing::outcome ApplyListing(std::size_t index,
                                       const kv_answer& answer,
                                       steady_time asked_at);
  void OnRelayed(std::size_t index, shared_listing::outcome outcome);
  void OnReadOutside(std::size_t index, shared_listing::outcome outcome);
  void ReadRegistryNow();
  void StartTargetsRead();
  void RecordReachability(listing& subject, const kv_answer& answer);

  void Apply(std::size_t index, shared_listing::outcome outcome);
  void ApplyContent(std::size_t index, shared_listing::outcome outcome);
  void ApplyConfiguration(bool has_changed, steady_time asked_at);
  void ApplyEvacuations();
  /** Logs which failure domains are evacuated, once each. */
  void ReportEvacuations();
  void ApplyTargets(bool has_changed, steady_time asked_at);
  void DecodeTargets();
  void LogColdTargets();
  void ApplyRegistry(bool has_changed, steady_time asked_at);
  void ApplyMembers(std::map<std::string, member_record> listed,
                    steady_time asked_at);

  void UpdateHolders(bool resumes = false);

  io_pool& pool_;
  key_value_store& store_;
  const gateway_protocol& protocol_;
  const gateway_settings& settings_;
  gateway_state& state_;
  std::function<void()> on_configuration_;
  registry_handler on_registry_;
  std::array<listing, 3> listings_;
  /** Polls each listing. */
  std::vector<std::unique_ptr<repeating_task>> polls_;
  /** The content of each listing. */
  std::vector<shared_listing> contents_;
  /** Age that a confirmation of the configuration may hide. */
  duration silence_;
  bool reads_members_ = false;
  /** A read of the registry outside of the polling is in progress. */
  bool refreshing_ = false;
  /** The registry has changed since that read began. */
  bool refresh_again_ = false;
  /** A read of the targets outside of the polling is in progress. */
  bool reading_targets_ = false;
  /** Handlers of the next such read. */
  std::vector<std::function<void(bool is_read)>> targets_handlers_;
  std::uint64_t configuration_version_ = 0;
  /** The present content of the configuration's listing is in force. */
  bool is_configuration_read_ = false;
  std::vector<target_record> target_records_;
  /** Versions of the entries that name no target, by key. */
  std::map<std::string, std::uint64_t> odd_target_entries_;
  listing_monitor monitor_;
  lease_registration registration_;
  state_relay relay_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_STATE_READER_H_
