#include "gentian_decisions/node.h"

#include <utility>

namespace gentian {

namespace {

json AddressList(const configuration& settings) {
  json addresses = json::array();
  for (const auto& [host, daemon] : settings.daemons) {
    addresses.push_back(daemon.caller_address);
  }
  return json{{"addresses", addresses},
              {"expires_in_ms", settings.fleet.address_ttl.count()}};
}

// Position of an event type in the event variant.
template <typename Event, std::size_t I = 0>
constexpr std::size_t IndexOf() {
  if constexpr (std::is_same_v<std::variant_alternative_t<I, event>, Event>) {
    return I;
  } else {
    return IndexOf<Event, I + 1>();
  }
}

}  // namespace

node::node(const node_identity& identity,
           configuration initial,
           random_source& random)
    : random_(random),
      cluster_(identity, std::move(initial)),
      scheduling_(cluster_),
      sessions_(cluster_, cluster_, scheduling_) {}

node::handler_table node::MakeHandlers() {
  handler_table table;
  table.fill(&node::Ignore);
  table[IndexOf<caller_request>()] = &node::OnCallerRequest;
  table[IndexOf<admin_request>()] = &node::OnAdminRequest;
  table[IndexOf<caller_disconnected>()] =
      &node::ToSessions<caller_disconnected>;
  table[IndexOf<peer_received>()] = &node::ToSessions<peer_received>;
  table[IndexOf<target_accepted>()] = &node::ToSessions<target_accepted>;
  table[IndexOf<target_chunk>()] = &node::ToSessions<target_chunk>;
  table[IndexOf<target_finished>()] = &node::ToSessions<target_finished>;
  table[IndexOf<target_failed>()] = &node::ToSessions<target_failed>;
  table[IndexOf<tick>()] = &node::OnTick;
  table[IndexOf<stop_requested>()] = &node::OnStopRequested;
  return table;
}

std::vector<command> node::Step(const event& input, steady_time now) {
  static const handler_table handlers = MakeHandlers();
  std::vector<command> commands;
  node_context context{now, commands, counters_, random_};
  cluster_.Deliver(context);
  (this->*handlers[input.index()])(input, context);
  return commands;
}

void node::OnCallerRequest(const event& input, node_context& context) {
  const auto& request = std::get<caller_request>(input);
  if (std::holds_alternative<list_addresses>(request.operation)) {
    final_answer answer;
    answer.body = AddressList(cluster_.settings());
    context.Emit(reply_to_caller{request.id, std::move(answer)});
    return;
  }
  sessions_.Handle(request, context);
}

void node::OnTick(const event& input, node_context& context) {
  sessions_.Handle(std::get<tick>(input), context);
  if (!stop_completed_ && sessions_.IsDrained(context.now)) {
    stop_completed_ = true;
    context.Emit(stop_completed{});
  }
}

void node::OnStopRequested(const event& /*input*/, node_context& context) {
  sessions_.StartDraining(context);
}

void node::OnAdminRequest(const event& input, node_context& context) {
  const auto& request = std::get<admin_request>(input);
  if (std::holds_alternative<read_status>(request.operation)) {
    context.Emit(
        reply_to_operator{request.id, json{{"sessions", sessions_.Status()},
                                           {"counters", counters_.values()}}});
    return;
  }
  if (const auto* key = std::get_if<withdraw_key>(&request.operation)) {
    sessions_.KeyWithdrawn(key->key_hash, context);
    context.Emit(reply_to_operator{request.id, json{{"daemons", 1}}});
    return;
  }
  context.Emit(reply_to_operator{
      request.id, error{error_kind::unavailable,
                        "a daemon without a fleet has no configuration log",
                        "change the settings file and start again"}});
}

}  // namespace gentian
