#include "gentian_decisions/request_forwarder.h"

#include <utility>
#include <vector>

#include "gentian_decisions/session_errors.h"

namespace gentian {

namespace {

constexpr milliseconds kResendInterval{1'000};
constexpr milliseconds kRouteRetryInterval{200};
/** A shard adoption takes about 16 s, plus 2 s for each dead candidate. */
constexpr milliseconds kOwnerUnreachableTimeout{30'000};

// Without an idempotency key or a position, a call that reached two owners
// would run twice.
void AddIdempotencyKey(caller_operation& operation, const std::string& key) {
  if (auto* call = std::get_if<model_call>(&operation)) {
    if (call->idempotency_key.empty() && !call->sequence) {
      call->idempotency_key = key;
    }
  } else if (auto* tool = std::get_if<tool_call>(&operation)) {
    if (tool->idempotency_key.empty() && !tool->sequence) {
      tool->idempotency_key = key;
    }
  }
}

template <typename... Alternatives>
result<std::variant<Alternatives...>> Decode(
    const json& encoded,
    const std::variant<Alternatives...>* /*type*/) {
  return DecodeVariant<Alternatives...>(encoded);
}

}  // namespace

request_forwarder::request_forwarder(const cluster_view& cluster,
                                     shard_locator& locator,
                                     answer_sink& answers,
                                     local_runner run_here)
    : cluster_(cluster),
      locator_(locator),
      answers_(answers),
      run_here_(std::move(run_here)) {}

void request_forwarder::Forward(const caller_identity& caller,
                                caller_operation operation,
                                const answer_route& route,
                                const shard_id& shard,
                                node_context& context) {
  const call_outcome unsent = OutcomeWithoutOwner(operation);
  AddIdempotencyKey(operation, "request:" + cluster_.self().ToString() + ":" +
                                   std::to_string(route.id));
  const request_id id = ++last_request_;
  open_request& added = requests_[id];
  added.caller = caller;
  added.operation = std::move(operation);
  added.unsent_outcome = unsent;
  added.route = route;
  added.shard = shard;
  RouteRequest(id, context);
}

void request_forwarder::RouteRequest(request_id id, node_context& context) {
  open_request& request = requests_.at(id);
  if (run_here_(request.caller, request.operation, request.route, request.shard,
                context)) {
    requests_.erase(id);
    return;
  }
  const auto owner = locator_.OwnerOf(request.shard);
  if (!owner) {
    context.counters.Add("refused.unknown_session");
    End(id, session_errors::UnknownSession(), context);
    return;
  }
  if (*owner == cluster_.self() || !cluster_.IsAlive(*owner)) {
    locator_.Refresh(request.shard, context);
    WaitForOwner(id, context);
    return;
  }
  SendTo(id, *owner, context);
}

void request_forwarder::WaitForOwner(request_id id, node_context& context) {
  open_request& request = requests_.at(id);
  request.owner.reset();
  request.retry_at = context.now + kRouteRetryInterval;
  if (!request.unreachable_since) {
    request.unreachable_since = context.now;
  }
  if (context.now < *request.unreachable_since + kOwnerUnreachableTimeout) {
    return;
  }
  if (request.was_sent) {
    End(id,
        session_errors::OutcomeUnknown(
            "the owner of the session cannot be reached"),
        context);
    return;
  }
  error reason{error_kind::unavailable, "the session currently has no owner",
               "retry with the same idempotency key", request.unsent_outcome};
  reason.retry_after = kOwnerUnreachableTimeout;
  End(id, std::move(reason), context);
}

request_id request_forwarder::Renumber(request_id id) {
  // An owner runs each request id once, so another attempt needs a new id.
  auto entry = requests_.extract(id);
  entry.key() = ++last_request_;
  entry.mapped().next_part = 0;
  entry.mapped().out_of_order_parts.clear();
  requests_.insert(std::move(entry));
  return last_request_;
}

void request_forwarder::SendTo(request_id id,
                               const incarnation& owner,
                               node_context& context) {
  const bool is_opening =
      std::holds_alternative<open_session>(requests_.at(id).operation);
  if (requests_.at(id).was_sent) {
    if (is_opening) {
      End(id,
          session_errors::OutcomeUnknown("the session may have been opened"),
          context);
      return;
    }
    id = Renumber(id);
  }
  open_request& request = requests_.at(id);
  request.owner = owner;
  request.sent_as = cluster_.self();
  request.was_sent = true;
  request.unreachable_since.reset();
  Emit(id, request, context);
  request.last_activity = context.now;
}

void request_forwarder::Emit(request_id id,
                             const open_request& request,
                             node_context& context) {
  forward_request message;
  message.to = *request.owner;
  message.request = id;
  message.oldest_open = requests_.begin()->first;
  message.parts_received = request.next_part;
  message.caller = request.caller;
  message.stream = request.route.stream;
  message.operation = EncodeVariant(request.operation);
  context.Emit(send_to_peer{request.owner->host, std::move(message)});
}

void request_forwarder::ResendOrReroute(request_id id, node_context& context) {
  open_request& request = requests_.at(id);
  const auto owner = locator_.OwnerOf(request.shard);
  if (!cluster_.IsAlive(*request.owner) ||
      (owner && *owner != *request.owner)) {
    RouteRequest(id, context);
    return;
  }
  if (context.now >= request.last_activity + kResendInterval) {
    request.last_activity = context.now;
    Emit(id, request, context);
  }
}

void request_forwarder::Tick(node_context& context) {
  std::vector<request_id> ids;
  for (const auto& [id, request] : requests_) {
    ids.push_back(id);
  }
  for (const request_id id : ids) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      continue;
    }
    if (found->second.owner) {
      ResendOrReroute(id, context);
    } else if (context.now >= found->second.retry_at) {
      RouteRequest(id, context);
    }
  }
}

void request_forwarder::Handle(const incarnation& from,
                               const forward_part& message,
                               node_context& context) {
  const request_id id = message.request;
  const auto found = requests_.find(id);
  if (found == requests_.end() || message.to != found->second.sent_as ||
      !found->second.owner || *found->second.owner != from) {
    return;
  }
  open_request& request = found->second;
  request.last_activity = context.now;
  if (message.number >= request.next_part) {
    request.out_of_order_parts[message.number] = message.part;
  }
  while (true) {
    const auto current = requests_.find(id);
    if (current == requests_.end() || !current->second.owner) {
      return;
    }
    open_request& open = current->second;
    const auto next = open.out_of_order_parts.find(open.next_part);
    if (next == open.out_of_order_parts.end()) {
      return;
    }
    const json part = std::move(next->second);
    open.out_of_order_parts.erase(next);
    ++open.next_part;
    Deliver(id, part, context);
  }
}

void request_forwarder::Deliver(request_id id,
                                const json& encoded,
                                node_context& context) {
  open_request& request = requests_.at(id);
  const auto decoded =
      Decode(encoded, static_cast<const answer_part*>(nullptr));
  if (Failed(decoded)) {
    End(id, session_errors::OutcomeUnknown(ErrorOf(decoded).message), context);
    return;
  }
  const answer_part& part = ValueOf(decoded);
  if (const auto* event = std::get_if<answer_event>(&part)) {
    // A new owner sends the events from the first one again.
    if (event->id > request.last_event) {
      request.last_event = event->id;
      answers_.Reply(request.route, *event, context);
    }
    return;
  }
  const auto* reason = std::get_if<error>(&part);
  if (reason != nullptr && reason->kind == error_kind::moved) {
    HandleMoved(id, context);
    return;
  }
  End(id, part, context);
}

void request_forwarder::HandleMoved(request_id id, node_context& context) {
  open_request& request = requests_.at(id);
  Close(id, context);
  locator_.Refresh(request.shard, context);
  WaitForOwner(id, context);
}

void request_forwarder::Close(request_id id, node_context& context) {
  const open_request& request = requests_.at(id);
  if (request.owner) {
    forward_closed message;
    message.to = *request.owner;
    message.request = id;
    context.Emit(send_to_peer{request.owner->host, std::move(message)});
  }
}

void request_forwarder::End(request_id id,
                            answer_part part,
                            node_context& context) {
  Close(id, context);
  const answer_route route = requests_.at(id).route;
  requests_.erase(id);
  answers_.Reply(route, std::move(part), context);
}

void request_forwarder::CallerGone(const answer_route& route,
                                   node_context& context) {
  for (auto at = requests_.begin(); at != requests_.end();) {
    if (at->second.route.IsSameRequest(route)) {
      Close(at->first, context);
      at = requests_.erase(at);
    } else {
      ++at;
    }
  }
}

void request_forwarder::KeyWithdrawn(const std::string& key_hash,
                                     node_context& context) {
  std::vector<request_id> affected;
  for (const auto& [id, request] : requests_) {
    if (request.caller.key_hash == key_hash) {
      affected.push_back(id);
    }
  }
  for (const request_id id : affected) {
    const open_request& request = requests_.at(id);
    const auto outcome =
        request.was_sent ? call_outcome::unknown : request.unsent_outcome;
    End(id, session_errors::KeyWithdrawn(outcome), context);
  }
}

}  // namespace gentian
