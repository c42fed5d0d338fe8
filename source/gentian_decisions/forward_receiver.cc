#include "gentian_decisions/forward_receiver.h"

#include <utility>

namespace gentian {

namespace {

template <typename... Alternatives>
result<std::variant<Alternatives...>> Decode(
    const json& encoded,
    const std::variant<Alternatives...>* /*type*/) {
  return DecodeVariant<Alternatives...>(encoded);
}

}  // namespace

forward_receiver::forward_receiver(const cluster_view& cluster,
                                   request_handler on_request,
                                   closed_handler on_closed)
    : cluster_(cluster),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)) {}

void forward_receiver::Handle(const incarnation& from,
                              const forward_request& message,
                              node_context& context) {
  if (message.to != cluster_.self()) {
    return;
  }
  entry_daemon& entry = entries_[from];
  DropRequestsBelow(from, message.oldest_open);
  if (message.request < entry.oldest_open) {
    return;
  }
  const auto known = entry.requests.find(message.request);
  if (known != entry.requests.end()) {
    const auto& parts = known->second.parts;
    for (std::uint64_t i = message.parts_received; i < parts.size(); ++i) {
      Send(from, message.request, i, parts[i], context);
    }
    return;
  }
  entry.requests[message.request];
  answer_route route;
  route.via = from;
  route.id = message.request;
  route.key_hash = message.caller.key_hash;
  route.stream = message.stream;
  const auto operation =
      Decode(message.operation, static_cast<const caller_operation*>(nullptr));
  if (Failed(operation)) {
    Reply(route, ErrorOf(operation), context);
    return;
  }
  on_request_(message.caller, ValueOf(operation), route, context);
}

void forward_receiver::Handle(const incarnation& from,
                              const forward_closed& message) {
  if (message.to != cluster_.self()) {
    return;
  }
  // The id is kept, because the request may still be delivered again.
  received_request& request = entries_[from].requests[message.request];
  if (!request.closed) {
    request.closed = true;
    request.parts.clear();
    NotifyClosed(from, message.request);
  }
}

void forward_receiver::NotifyClosed(const incarnation& from,
                                    request_id request) {
  answer_route route;
  route.via = from;
  route.id = request;
  on_closed_(route);
}

void forward_receiver::DropRequestsBelow(const incarnation& from,
                                         request_id oldest) {
  entry_daemon& entry = entries_[from];
  if (oldest <= entry.oldest_open) {
    return;
  }
  entry.oldest_open = oldest;
  const auto end = entry.requests.lower_bound(oldest);
  for (auto at = entry.requests.begin(); at != end;) {
    if (!at->second.closed) {
      NotifyClosed(from, at->first);
    }
    at = entry.requests.erase(at);
  }
}

void forward_receiver::Send(const incarnation& to,
                            request_id request,
                            std::uint64_t number,
                            const json& part,
                            node_context& context) {
  forward_part message;
  message.to = to;
  message.request = request;
  message.number = number;
  message.part = part;
  context.Emit(send_to_peer{to.host, std::move(message)});
}

void forward_receiver::Reply(const answer_route& route,
                             const answer_part& part,
                             node_context& context) {
  const auto entry = entries_.find(route.via);
  if (entry == entries_.end()) {
    return;
  }
  const auto request = entry->second.requests.find(route.id);
  if (request == entry->second.requests.end() || request->second.closed) {
    return;
  }
  auto& parts = request->second.parts;
  parts.push_back(EncodeVariant(part));
  Send(route.via, route.id, parts.size() - 1, parts.back(), context);
}

void forward_receiver::Tick() {
  for (auto at = entries_.begin(); at != entries_.end();) {
    const auto current = cluster_.FindMember(at->first.host);
    const bool replaced = !current || current->id.epoch > at->first.epoch;
    if (!replaced) {
      ++at;
      continue;
    }
    for (const auto& [id, request] : at->second.requests) {
      if (!request.closed) {
        NotifyClosed(at->first, id);
      }
    }
    at = entries_.erase(at);
  }
}

}  // namespace gentian
