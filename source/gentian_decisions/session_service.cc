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
      gate_(cluster),
      shards_(cluster, store),
      sessions_(*this),
      calls_(cluster, scheduling, sessions_, *this),
      operations_(cluster, scheduling, sessions_, calls_, *this) {
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
  const auto caller = gate_.Identify(input.key);
  if (Failed(caller)) {
    Refuse(LocalRoute(input, ""), ErrorOf(caller), context);
    return;
  }
  Run(ValueOf(caller), input.operation,
      LocalRoute(input, ValueOf(caller).key_hash), context);
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
  if (shard.empty()) {
    Refuse(route, session_errors::NotReady(), context);
    return;
  }
  operations_.Open(caller, operation, shard, route, context);
}

void session_service::RunPlain(const caller_request& input,
                               node_context& context) {
  const auto& operation = std::get<plain_call>(input.operation);
  const route_settings* found = FindRoute(cluster_.settings(), operation.path);
  if (found == nullptr) {
    Refuse(LocalRoute(input, ""),
           error{error_kind::unknown_route, "no route leads to this path",
                 "use a configured path"},
           context);
    return;
  }
  caller_identity caller;
  const auto identified = gate_.Identify(input.key);
  if (!Failed(identified)) {
    caller = ValueOf(identified);
  } else if (!found->open_to_all) {
    Refuse(LocalRoute(input, ""), ErrorOf(identified), context);
    return;
  }
  call_request request;
  request.team = caller.team;
  request.key_hash = caller.key_hash;
  request.body = operation.body;
  request.method = operation.method;
  request.path = operation.path;
  request.pool = found->pool;
  request.repeatable = found->repeatable;
  request.deadline = found->deadline;
  calls_.Submit(std::move(request), LocalRoute(input, caller.key_hash),
                context);
}

void session_service::Handle(const caller_disconnected& input,
                             node_context& /*context*/) {
  answer_route route;
  route.id = input.id;
  calls_.CallerGone(route);
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
  shards_.Tick(context);
  calls_.Tick(context);
  operations_.Tick(context);
}

void session_service::KeyWithdrawn(const std::string& key_hash,
                                   node_context& context) {
  gate_.Withdraw(key_hash);
  calls_.KeyWithdrawn(key_hash, context);
}

json session_service::Status() const {
  return json{{"sessions", sessions_.size()},
              {"calls", calls_.size()},
              {"shards", shards_.Status()}};
}

void session_service::Reply(const answer_route& route,
                            answer_part part,
                            node_context& context) {
  context.Emit(reply_to_caller{route.id, std::move(part)});
}

void session_service::Replicate(const session_id& /*session*/,
                                const session_record& /*record*/,
                                commit_handler handler,
                                node_context& context) {
  // A fleet of one daemon has no replicas.
  handler(context);
}

void session_service::Retire(const session_id& /*session*/,
                             node_context& /*context*/) {}

}  // namespace gentian
