#ifndef GENTIAN_DECISIONS_CLUSTER_SERVICE_H_
#define GENTIAN_DECISIONS_CLUSTER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gentian_decisions/caller_identity.h"
#include "gentian_decisions/cluster_listener.h"
#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/config_store.h"
#include "gentian_decisions/configuration_builder.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/key_registry.h"
#include "gentian_decisions/kv_client.h"
#include "gentian_decisions/membership.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/node_identity.h"
#include "gentian_decisions/operator_requests.h"
#include "gentian_decisions/withdrawal_store.h"

namespace gentian {

/** The cluster part of a node: key-value client, membership, configuration,
    keys, freshness and the operators' requests.

    The owner passes every tick, peer message, key-value answer, host list and
    admin request to it, and asks it before a caller's request is accepted:
    first Authenticate, then CheckReady.

    @see cluster_view, cluster_listener
*/
class cluster_service final : public cluster_view {
 public:
  /** Creates the part for a daemon that is starting.

      @param identity  addresses and failure domain of this daemon
      @param initial   configuration to start with; version 0 if none is known
      @param tree      settings tree that `initial` was built from
      @param builder   builds configurations from later trees
  */
  cluster_service(node_identity identity,
                  configuration initial,
                  settings_tree tree,
                  configuration_builder builder);

  /** Sets who is told of changes. Must be called before any handler. */
  void SetListener(cluster_listener* listener) { listener_ = listener; }

  cluster_service(const cluster_service&) = delete;
  cluster_service& operator=(const cluster_service&) = delete;

  // cluster_view:
  const incarnation& self() const override { return members_.self(); }
  const configuration& settings() const override {
    return store_.log().in_force();
  }
  std::vector<member> LiveMembers() const override { return members_.Live(); }
  std::optional<member> FindMember(const host_id& host) const override {
    return members_.Find(host);
  }
  bool IsAlive(const incarnation& id) const override {
    return members_.IsAlive(id);
  }

  /** Finds for whom a request runs. Address lists and public routes need no
      key; a key that is presented is checked in any case.
  */
  result<caller_identity> Authenticate(const std::string& key,
                                       const caller_operation& operation) const;

  /** True if a caller that was authenticated earlier may continue. */
  bool IsKeyValid(const std::string& key_hash) const;

  /** Nothing if new requests may be accepted now, else why not: the
      configuration is not known yet or may be out of date.
  */
  std::optional<error> CheckReady(steady_time now) const;

  /** The answer to list_addresses. */
  json AddressList() const;

  /** Calls to the key-value service, for the other parts. */
  kv_access& kv() { return kv_; }

  /** Adds a section to the answer to read_status. */
  void AddStatus(const std::string& name, std::function<json()> source);

  /** Sets the number of requests in progress, for heartbeats. */
  void SetLoad(std::uint32_t load) { members_.SetLoad(load); }

  /** Leaves the address list: first step of a planned stop. */
  void StartDraining(node_context& context);

  /** Tells the others that this daemon is gone: last step of a planned stop.
      Ticks and answers of the service must still be passed on until kv_idle.
  */
  void Leave(node_context& context);

  /** True if no call to the service is open, apart from watches. */
  bool kv_idle() const { return kv_.IsIdle(); }

  // Events. Each handler may call the listener.
  void Handle(const tick& input, node_context& context);
  void Handle(const kv_answered& input, node_context& context);
  void Handle(const host_list_received& input, node_context& context);
  void Handle(const admin_request& input, node_context& context);

  /** Handles a peer message. Must be called for every message: each shows
      that its sender is up.

      @returns true if the message belongs to this part
  */
  bool Handle(const peer_received& input, node_context& context);

 private:
  // Messages of this part. Other messages go to the template.
  bool Take(const incarnation& from, const heartbeat& m, node_context& c);
  bool Take(const incarnation& from, const config_update& m, node_context& c);
  bool Take(const incarnation& from, const config_request& m, node_context& c);
  bool Take(const incarnation& from, const keys_withdrawn& m, node_context& c);
  bool Take(const incarnation& from,
            const keys_withdrawn_confirmed& m,
            node_context& c);
  bool Take(const incarnation& from, const rollout_request& m, node_context& c);
  bool Take(const incarnation& from, const rollout_answer& m, node_context& c);
  template <typename Message>
  bool Take(const incarnation& /*from*/,
            const Message& /*m*/,
            node_context& /*c*/) {
    return false;
  }

  membership::heartbeat_facts Facts() const;
  config_store::fleet StoreView(steady_time now) const;
  withdrawal_store::fleet WithdrawalView() const;
  void TickStore(node_context& context);
  void UseSettings(node_context& context);
  void KeyEnded(const std::string& key_hash, node_context& context);

  // kv_ outlives the parts that use it.
  kv_client kv_;
  key_registry keys_;
  membership members_;
  config_store store_;
  withdrawal_store withdrawals_;
  operator_requests operators_;
  cluster_listener* listener_ = nullptr;
  bool started_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CLUSTER_SERVICE_H_
