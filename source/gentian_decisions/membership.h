#ifndef GENTIAN_DECISIONS_MEMBERSHIP_H_
#define GENTIAN_DECISIONS_MEMBERSHIP_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "gentian_decisions/event.h"
#include "gentian_decisions/heard_tracker.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/member_table.h"
#include "gentian_decisions/node_identity.h"
#include "gentian_decisions/registration.h"

namespace gentian {

/** Members of the fleet: registration, heartbeats, suspicion, addresses. */
class membership {
 public:
  /** What heartbeats say about other parts of this node. */
  struct heartbeat_facts {
    std::uint64_t config_version = 0;
    std::uint64_t withdrawn_digest = 0;
  };

  /** Creates the part of a daemon.

      @param kv        access to the service; must outlive this object
      @param identity  addresses and failure domain of this daemon
  */
  membership(kv_access& kv, node_identity identity);

  /** Uses the daemons that a configuration lists. */
  void UseSettings(const configuration& settings, steady_time now);

  /** Registers, renews, sends heartbeats and judges silent members.

      @returns true if this daemon has a new incarnation
  */
  bool Tick(const heartbeat_facts& facts, node_context& context);

  /** Handles a heartbeat. */
  void Handle(const heartbeat& input,
              const heartbeat_facts& facts,
              node_context& context);

  /** Handles the platform's list of hosts. */
  void Handle(const host_list_received& input);

  /** Any message of another daemon shows that it is up. */
  void HeardFrom(const incarnation& sender, steady_time now);

  /** Tells the others that this daemon takes no new sessions. */
  void StartDraining(const heartbeat_facts& facts, node_context& context);

  /** Tells the others that this daemon stops, and removes its entry. */
  void Leave(const heartbeat_facts& facts, node_context& context);

  /** Sets the number of requests in progress, for heartbeats. */
  void SetLoad(std::uint32_t load) { load_ = load; }

  /** This daemon's incarnation. */
  const incarnation& self() const { return registration_.self(); }

  /** Members that are alive and this daemon, in order of host. */
  std::vector<member> Live() const;

  /** All members that are not dead and this daemon, in order of host. */
  std::vector<member> All() const;

  /** A member or this daemon. */
  std::optional<member> Find(const host_id& host) const;

  /** True unless the incarnation is suspected, dead or replaced. */
  bool IsAlive(const incarnation& id) const;

  /** True if callers may be sent to a host now. */
  bool TakesCallers(const host_id& host) const;

  /** Daemons that this daemon keeps links to. */
  const std::set<host_id>& neighbours() const { return neighbours_; }

  /** True if more than half of the configured daemons were heard from. */
  bool HeardMajority(duration within, steady_time now) const;

 private:
  member Self() const;
  std::vector<member> WithSelf(std::vector<member> others) const;
  void ChooseLinks();
  void SendHeartbeats(const heartbeat_facts& facts, node_context& context);
  heartbeat NextHeartbeat(const heartbeat_facts& facts, steady_time now);
  void HandleNews(const member_news& news, steady_time now);
  void ReadMembers(node_context& context);
  void ReadAddress(node_context& context);
  void UseAnswer(const kv_answer& answer, steady_time now);

  kv_access& kv_;
  node_identity identity_;
  registration registration_;
  member_table table_;
  heard_tracker heard_;
  std::set<host_id> neighbours_;
  std::size_t configured_ = 0;
  std::uint64_t number_ = 0;
  std::uint32_t load_ = 0;
  bool draining_ = false;
  bool leaving_ = false;
  int refutations_ = 0;
  steady_time next_heartbeat_;
  steady_time next_address_read_;
  bool members_read_ = false;
  bool reading_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_MEMBERSHIP_H_
