// Implements the part of session_service that handles messages of other daemons
// and changes of shard ownership.
#include <utility>

#include "gentian_decisions/session_service.h"

namespace gentian {

void session_service::Handle(const peer_received& input,
                             node_context& context) {
  std::visit(
      [&](const auto& message) {
        using type = std::decay_t<decltype(message)>;
        constexpr bool kIsForReplica = std::is_same_v<type, store_records> ||
                                       std::is_same_v<type, shard_copied> ||
                                       std::is_same_v<type, forget_sessions> ||
                                       std::is_same_v<type, forget_shard> ||
                                       std::is_same_v<type, fence_request>;
        if constexpr (kIsForReplica) {
          replica_store_.Handle(input.from, message, context);
        } else if constexpr (std::is_same_v<type, records_stored>) {
          copies_.Handle(input.from, message, context);
        } else if constexpr (std::is_same_v<type, store_refused>) {
          HandleFenced(input.from, message, context);
        } else if constexpr (std::is_same_v<type, fence_promise> ||
                             std::is_same_v<type, hand_over>) {
          adopter_.Handle(input.from, message, context);
        } else if constexpr (std::is_same_v<type, owner_changed>) {
          HandleOwnerChange(message, context);
        } else if constexpr (std::is_same_v<type, forward_request>) {
          forward_receiver_.Handle(input.from, message, context);
        } else if constexpr (std::is_same_v<type, forward_closed>) {
          forward_receiver_.Handle(input.from, message);
        } else if constexpr (std::is_same_v<type, forward_part>) {
          forwarder_.Handle(input.from, message, context);
        }
      },
      input.message);
}

void session_service::HandleFenced(const incarnation& from,
                                   const store_refused& message,
                                   node_context& context) {
  adopter_.Handle(from, message, context);
  shards_.Fenced(message.shard, message.promised, message.owner, context);
}

void session_service::HandleOwnerChange(const owner_changed& message,
                                        node_context& context) {
  locator_.Learn(message.shard, message.generation, message.owner);
  shards_.Fenced(message.shard, message.generation, message.owner, context);
}

void session_service::StartDraining(node_context& context) {
  drain_.Start(context.now);
}

bool session_service::IsDrained(steady_time now) const {
  return drain_.IsDone(now) && calls_.size() == 0 && forwarder_.size() == 0;
}

std::string session_service::AddressOf(const incarnation& owner) const {
  const auto found = cluster_.FindMember(owner.host);
  return found ? found->caller_address : std::string();
}

void session_service::ShardAdopted(const shard_id& shard,
                                   const shard_record& record,
                                   node_context& context) {
  operations_.AdoptShard(shard, record.restored, context);
  AnnounceOwner(shard, record, context);
}

void session_service::AnnounceOwner(const shard_id& shard,
                                    const shard_record& record,
                                    node_context& context) {
  locator_.Learn(shard, record.generation, record.owner);
  for (const member& other : cluster_.LiveMembers()) {
    if (other.id != cluster_.self()) {
      context.Emit(
          send_to_peer{other.id.host,
                       owner_changed{shard, record.generation, record.owner}});
    }
  }
}

void session_service::ShardLost(const shard_id& shard,
                                const incarnation& owner,
                                node_context& context) {
  const std::string address = AddressOf(owner);
  locator_.Refresh(shard, context);
  copies_.Stop(shard);
  calls_.AbandonShard(shard, address, context);
  operations_.AbandonShard(shard, address, context);
  sessions_.EraseShard(shard);
}

}  // namespace gentian
