#include "gentian_decisions/node.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace gentian {

namespace {

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
           initial_settings initial,
           random_source& random)
    : random_(random),
      cluster_(identity,
               std::move(initial.settings),
               std::move(initial.tree),
               std::move(initial.builder)),
      scheduling_(cluster_),
      sessions_(cluster_, cluster_.kv(), scheduling_) {
  cluster_.SetListener(this);
  cluster_.AddStatus("sessions", [this] { return sessions_.Status(); });
  cluster_.AddStatus("scheduling", [this] { return scheduling_.Status(); });
  cluster_.AddStatus("counters", [this] { return json(counters_.values()); });
}

node::handler_table node::MakeHandlers() {
  handler_table table{};
  table[IndexOf<caller_request>()] = &node::OnCallerRequest;
  table[IndexOf<admin_request>()] = &node::ToCluster<admin_request>;
  table[IndexOf<caller_disconnected>()] =
      &node::ToSessions<caller_disconnected>;
  table[IndexOf<peer_received>()] = &node::OnPeerMessage;
  table[IndexOf<kv_answered>()] = &node::ToCluster<kv_answered>;
  table[IndexOf<target_accepted>()] = &node::ToSessions<target_accepted>;
  table[IndexOf<target_chunk>()] = &node::ToSessions<target_chunk>;
  table[IndexOf<target_finished>()] = &node::ToSessions<target_finished>;
  table[IndexOf<target_failed>()] = &node::ToSessions<target_failed>;
  table[IndexOf<target_order_answered>()] =
      &node::ToScheduling<target_order_answered>;
  table[IndexOf<target_load>()] = &node::ToScheduling<target_load>;
  table[IndexOf<target_cache_event>()] =
      &node::ToScheduling<target_cache_event>;
  table[IndexOf<host_list_received>()] = &node::OnHostList;
  table[IndexOf<tick>()] = &node::OnTick;
  table[IndexOf<stop_requested>()] = &node::OnStopRequested;
  assert(std::find(table.begin(), table.end(), nullptr) == table.end());
  return table;
}

std::vector<command> node::Step(const event& input, steady_time now) {
  static const handler_table handlers = MakeHandlers();
  std::vector<command> commands;
  node_context context{now, commands, counters_, random_};
  (this->*handlers[input.index()])(input, context);
  return commands;
}

void node::OnCallerRequest(const event& input, node_context& context) {
  const auto& request = std::get<caller_request>(input);
  if (std::holds_alternative<list_addresses>(request.operation)) {
    final_answer answer;
    answer.body = cluster_.AddressList();
    context.Emit(reply_to_caller{request.id, std::move(answer)});
    return;
  }
  const auto caller = cluster_.Authenticate(request.key, request.operation);
  std::optional<error> refusal;
  if (Failed(caller)) {
    refusal = ErrorOf(caller);
  } else {
    refusal = cluster_.CheckReady(context.now);
  }
  if (refusal) {
    refusal->outcome = OutcomeWithoutOwner(request.operation);
    counters_.Add(std::string("refused.") + NameOf(refusal->kind));
    context.Emit(reply_to_caller{request.id, std::move(*refusal)});
    return;
  }
  sessions_.Handle(request, context);
}

void node::OnPeerMessage(const event& input, node_context& context) {
  const auto& received = std::get<peer_received>(input);
  // The cluster part sees every message: each shows that its sender is up.
  if (cluster_.Handle(received, context) ||
      scheduling_.Receive(received.from, received.message, context)) {
    return;
  }
  sessions_.Handle(received, context);
}

void node::OnHostList(const event& input, node_context& context) {
  const auto& list = std::get<host_list_received>(input);
  cluster_.Handle(list, context);
  scheduling_.Receive(list, context);
}

void node::OnTick(const event& input, node_context& context) {
  const auto& now = std::get<tick>(input);
  cluster_.Handle(now, context);
  scheduling_.Tick(context);
  sessions_.Handle(now, context);
  FinishStop(context);
}

void node::OnStopRequested(const event& /*input*/, node_context& context) {
  if (stop_ != stop_step::running) {
    return;
  }
  stop_ = stop_step::draining;
  cluster_.StartDraining(context);
  sessions_.StartDraining(context);
}

void node::FinishStop(node_context& context) {
  if (stop_ == stop_step::draining && sessions_.IsDrained(context.now)) {
    stop_ = stop_step::leaving;
    cluster_.Leave(context);
  }
  if (stop_ == stop_step::leaving && cluster_.kv_idle()) {
    stop_ = stop_step::completed;
    context.Emit(stop_completed{});
  }
}

void node::KeyWithdrawn(const std::string& key_hash, node_context& context) {
  sessions_.KeyWithdrawn(key_hash, context);
}

// The parts read the settings when they use them.
void node::ConfigurationChanged(node_context& context) {
  write_log line;
  line.message = "configuration in force";
  line.fields = {{"version", cluster_.settings().version}};
  context.Emit(std::move(line));
}

void node::IncarnationChanged(node_context& context) {
  write_log line;
  line.message = "registered";
  line.fields = {{"incarnation", cluster_.self().ToString()}};
  context.Emit(std::move(line));
}

}  // namespace gentian
