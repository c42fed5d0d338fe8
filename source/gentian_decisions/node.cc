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

}  // namespace

node::node(node_identity identity, configuration initial, random_source& random)
    : identity_(std::move(identity)),
      configuration_(std::move(initial)),
      random_(random) {}

std::vector<command> node::Step(const event& input, steady_time now) {
  std::vector<command> commands;
  node_context context{now, commands, counters_, random_};
  std::visit([&](const auto& value) { Handle(value, context); }, input);
  return commands;
}

void node::Handle(const caller_request& request, node_context& context) {
  if (std::holds_alternative<list_addresses>(request.operation)) {
    final_answer answer;
    answer.body = AddressList(configuration_);
    context.Emit(reply_to_caller{request.id, std::move(answer)});
    return;
  }
  counters_.Add("refused.not_ready");
  context.Emit(reply_to_caller{
      request.id, error{error_kind::not_ready, "the daemon is starting",
                        "retry after a second, or at another address"}});
}

}  // namespace gentian
