#include "gentian_decisions/session_service.h"

#include <utility>

#include "gentian_decisions/session_errors.h"

namespace gentian {

namespace {

const route_settings* FindRoute(const configuration& settings,
                                const std::string& path) {
  const route_settings* best = nullptr;
  for (const route_settings& route : settings.routes) {
    const bool matches =
        path.compare(0, route.prefix.size(), route.prefix) == 0;
    if (matches &&
        (best == nullptr || route.prefix.size() > best->prefix.size())) {
      best = &route;
    }
  }
  return best;
}

// The shard of the session that an operation refers to; nothing for a new
// session without a parent, which can be opened in any shard.
std::optional<shard_id> ShardNamedBy(const caller_operation& operation) {
  return std::visit(
      [](const auto& value) -> std::optional<shard_id> {
        using type = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<type, open_session>) {
          if (!value.parent) {
            return std::nullopt;
          }
          return ShardOf(*value.parent);
        } else if constexpr (std::is_same_v<type, list_addresses> ||
                             std::is_same_v<type, plain_call>) {
          return std::nullopt;
        } else {
          return ShardOf(value.session);
        }
      },
      operation);
}

answer_route LocalRoute(const caller_request& input,
                        const std::string& key_hash) {
  answer_route route;
  route.id = input.id;
  route.key_hash = key_hash;
  const auto* call = std::get_if<model_call>(&input.operation);
  route.stream = std::holds_alternative<resume_events>(input.operation) ||
                 (call != nullptr && call->stream);
  return route;
}

}  // namespace

session_service::session_service(const cluster_view& cluster,
                                 kv_access& store,
                                 call_scheduling& scheduling)
    : cluster_(cluster),
      authenticator_(cluster),
      copies_([this](const session_id& id) { return sessions_.Find(id); },
              [this](const session_id& id) { sessions_.Erase(id); }),
      sessions_(copies_),
      shards_(cluster, store, copies_, *this),
      adopter_(cluster,
               store,
               replica_store_,
               copies_,
               sessions_,
               shards_,
               *this),
      checkpoints_(cluster, store, copies_, sessions_, shards_),
      calls_(cluster, scheduling, sessions_, *this),
      operations_(cluster, scheduling, sessions_, calls_, *this),
      locator_(cluster, store),
      forwarder_(cluster,
                 locator_,
                 *this,
                 [this](const caller_identity& caller,
                        const caller_operation& operation,
                        const answer_route& route,
                        const shard_id& shard,
                        node_context& context) {
                   return RunIfServed(caller, operation, route, shard, context);
                 }),
      forward_receiver_(
          cluster,
          [this](const caller_identity& caller,
                 const caller_operation& operation,
                 const answer_route& route,
                 node_context& context) {
            RunForwarded(caller, operation, route, context);
          },
          [this](const answer_route& route) { calls_.CallerGone(route); }),
      drain_(cluster,
             shards_,
             [this](const shard_id& shard) {
               return calls_.HasCallsIn(shard) ||
                      operations_.IsWaitingIn(shard);
             }),
      cleaner_(cluster,
               sessions_,
               shards_,
               checkpoints_,
               [this](const shard_id& shard) {
                 return calls_.HasCallsIn(shard) ||
                        operations_.IsWaitingIn(shard);
               }) {
  calls_.SetFencingSource(
      [this](const shard_id& shard) { return shards_.Generation(shard); });
}

void session_service::Refuse(const answer_route& route,
                             error reason,
                             node_context& context) {
  context.counters.Add(std::string("refused.") + NameOf(reason.kind));
  Reply(route, std::move(reason), context);
}

void session_service::Handle(const caller_request& input,
                             node_context& context) {
  if (std::holds_alternative<plain_call>(input.operation)) {
    RunPlain(input, context);
    return;
  }
  if (cluster_.self().epoch == 0) {
    // Without an epoch, generated idempotency keys and the ids of forwarded
    // requests could repeat those of an earlier incarnation.
    Refuse(LocalRoute(input, ""), session_errors::NotReady(), context);
    return;
  }
  const auto caller = authenticator_.Authenticate(input.key);
  if (Failed(caller)) {
    Refuse(LocalRoute(input, ""), ErrorOf(caller), context);
    return;
  }
  const answer_route route = LocalRoute(input, ValueOf(caller).key_hash);
  const auto shard = ShardNamedBy(input.operation);
  if (!shard) {
    Run(ValueOf(caller), input.operation, route, context);
    return;
  }
  forwarder_.Forward(ValueOf(caller), input.operation, route, *shard, context);
}

bool session_service::RunIfServed(const caller_identity& caller,
                                  const caller_operation& operation,
                                  const answer_route& route,
                                  const shard_id& shard,
                                  node_context& context) {
  if (!shards_.Serves(shard)) {
    return false;
  }
  Run(caller, operation, route, context);
  return true;
}

void session_service::RunForwarded(const caller_identity& caller,
                                   const caller_operation& operation,
                                   const answer_route& route,
                                   node_context& context) {
  // The key may have been withdrawn while the request was in transit.
  if (auto reason = authenticator_.Reauthenticate(caller)) {
    Refuse(route, std::move(*reason), context);
    return;
  }
  const auto shard = ShardNamedBy(operation);
  if (!shard || !shards_.Serves(*shard)) {
    const auto owner = shard ? locator_.OwnerOf(*shard) : std::nullopt;
    Refuse(route,
           session_errors::Moved(owner ? AddressOf(*owner) : std::string(),
                                 call_outcome::not_run),
           context);
    return;
  }
  Run(caller, operation, route, context);
}

void session_service::Run(const caller_identity& caller,
                          const caller_operation& operation,
                          const answer_route& route,
                          node_context& context) {
  std::visit(
      [&](const auto& value) {
        using type = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<type, open_session>) {
          Open(caller, value, route, context);
        } else if constexpr (std::is_same_v<type, model_call> ||
                             std::is_same_v<type, tool_call>) {
          operations_.Call(caller, value, route, context);
        } else if constexpr (std::is_same_v<type, resume_events>) {
          operations_.Resume(caller, value, route, context);
        } else if constexpr (std::is_same_v<type, read_history>) {
          operations_.History(caller, value, route, context);
        } else if constexpr (std::is_same_v<type, end_session>) {
          operations_.End(caller, value, route, context);
        }
      },
      operation);
}

void session_service::Open(const caller_identity& caller,
                           const open_session& operation,
                           const answer_route& route,
                           node_context& context) {
  const auto shard = operation.parent
                         ? ShardOf(*operation.parent)
                         : shards_.NextShard().value_or(shard_id());
  if (!operation.parent && drain_.IsDraining()) {
    Refuse(route, session_errors::Draining(), context);
    return;
  }
  if (shard.empty()) {
    Refuse(route, session_errors::NotReady(), context);
    return;
  }
  operations_.Open(caller, operation, shard, route, context);
}

void session_service::RunPlain(const caller_request& input,
                               node_context& context) {
  const auto& operation = std::get<plain_call>(input.operation);
  const route_settings* route = FindRoute(cluster_.settings(), operation.path);
  if (route == nullptr) {
    Refuse(LocalRoute(input, ""),
           error{error_kind::unknown_route, "no route leads to this path",
                 "use a configured path"},
           context);
    return;
  }
  caller_identity caller;
  const auto identified = authenticator_.Authenticate(input.key);
  if (!Failed(identified)) {
    caller = ValueOf(identified);
  } else if (!route->open_to_all) {
    Refuse(LocalRoute(input, ""), ErrorOf(identified), context);
    return;
  }
  call_request request;
  request.team = caller.team;
  request.key_hash = caller.key_hash;
  request.body = operation.body;
  request.method = operation.method;
  request.path = operation.path;
  request.pool = route->pool;
  request.repeatable = route->repeatable;
  request.deadline = route->deadline;
  calls_.Submit(std::move(request), LocalRoute(input, caller.key_hash),
                context);
}

void session_service::Handle(const caller_disconnected& input,
                             node_context& context) {
  answer_route route;
  route.id = input.id;
  calls_.CallerGone(route);
  forwarder_.CallerGone(route, context);
}

void session_service::Handle(const target_accepted& input,
                             node_context& context) {
  calls_.targets().Handle(input, context);
}

void session_service::Handle(const target_chunk& input, node_context& context) {
  calls_.targets().Handle(input, context);
}

void session_service::Handle(const target_finished& input,
                             node_context& context) {
  calls_.targets().Handle(input, context);
}

void session_service::Handle(const target_failed& input,
                             node_context& context) {
  calls_.targets().Handle(input, context);
}

void session_service::Handle(const tick& /*input*/, node_context& context) {
  replica_store_.SetSelf(cluster_.self());
  shards_.Tick(context);
  adopter_.Tick(context);
  copies_.Tick(context);
  checkpoints_.Tick(context);
  calls_.Tick(context);
  operations_.Tick(context);
  forwarder_.Tick(context);
  forward_receiver_.Tick();
  drain_.Tick(context);
  cleaner_.Tick(context);
}

void session_service::KeyWithdrawn(const std::string& key_hash,
                                   node_context& context) {
  authenticator_.Withdraw(key_hash);
  calls_.KeyWithdrawn(key_hash, context);
  forwarder_.KeyWithdrawn(key_hash, context);
}

json session_service::Status() const {
  return json{{"sessions", sessions_.size()},    {"calls", calls_.size()},
              {"forwarded", forwarder_.size()},  {"adoptions", adopter_.size()},
              {"draining", drain_.IsDraining()}, {"shards", shards_.Status()}};
}

void session_service::Reply(const answer_route& route,
                            answer_part part,
                            node_context& context) {
  if (!route.IsLocal()) {
    forward_receiver_.Reply(route, part, context);
    return;
  }
  context.Emit(reply_to_caller{route.id, std::move(part)});
}

}  // namespace gentian
