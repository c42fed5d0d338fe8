#ifndef GENTIAN_DECISIONS_CLUSTER_SERVICE_H_
#define GENTIAN_DECISIONS_CLUSTER_SERVICE_H_

#include <optional>
#include <string>
#include <vector>

#include "gentian_decisions/caller_identity.h"
#include "gentian_decisions/cluster_listener.h"
#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/configuration_builder.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/key_registry.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/node_identity.h"

namespace gentian {

/** The cluster part of a node: key-value client, membership, configuration,
    keys, freshness and the operators' requests.

    The owner passes every tick, peer message, key-value answer, host list and
    admin request to it, and asks it before a caller's request is accepted:
    first Authenticate, then CheckReady.

    @see cluster_view, cluster_listener
*/
class cluster_service : public cluster_view {
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

  // cluster_view:
  const incarnation& self() const override { return self_; }
  const configuration& settings() const override { return settings_; }
  std::vector<member> LiveMembers() const override;
  std::optional<member> FindMember(const host_id& host) const override;
  bool IsAlive(const incarnation& id) const override;

  /** Finds for whom a request runs. Address lists and public routes need no
      key; a key that is presented is checked in any case.
  */
  result<caller_identity> Authenticate(const std::string& key,
                                       const caller_operation& operation) const;

  /** True if a caller that was authenticated earlier may continue. */
  bool IsKeyValid(const std::string& key_hash) const;

  /** Nothing if new requests may be accepted now, else why not. */
  std::optional<error> CheckReady(steady_time now) const;

  /** The answer to list_addresses. */
  json AddressList() const;

 private:
  member SelfAsMember() const;

  node_identity identity_;
  configuration settings_;
  settings_tree tree_;
  configuration_builder builder_;
  incarnation self_;
  key_registry keys_;
  cluster_listener* listener_ = nullptr;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CLUSTER_SERVICE_H_
