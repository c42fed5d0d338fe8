// Implements the part of session_operations that ends sessions, and completes
// or abandons open work when a shard is adopted or lost.
#include <utility>

#include "gentian_decisions/session_errors.h"
#include "gentian_decisions/session_operations.h"

namespace gentian {

void session_operations::End(const caller_identity& caller,
                             const end_session& operation,
                             const answer_route& route,
                             node_context& context) {
  session* target = sessions_.Find(operation.session);
  const bool is_ending = ending_.count(operation.session) > 0;
  if (!is_ending) {
    target = FindOrRefuse(caller, operation.session, route, context);
  }
  if (target == nullptr || target->opened().team != caller.team) {
    if (is_ending) {
      Refuse(route, session_errors::UnknownSession(), context);
    }
    return;
  }
  const std::uint64_t pending =
      AddPending(ShardOf(target->id()), route, false, context);
  end_requests_.emplace(target->id(), pending);
  if (!is_ending) {
    BeginEnd(*target, context);
  }
}

void session_operations::BeginEnd(session& target, node_context& context) {
  if (ending_.count(target.id()) > 0) {
    return;
  }
  // Copied because ending the children can remove the session that holds the
  // referenced id.
  const session_id id(target.id().text());
  ending_[id] = false;
  calls_.AbortSession(id, context);
  const std::vector<session_id> children(target.children().begin(),
                                         target.children().end());
  for (const session_id& child : children) {
    if (session* child_session = sessions_.Find(child)) {
      BeginEnd(*child_session, context);
    }
  }
  TryEnd(id, context);
}

void session_operations::TryEnd(const session_id& id, node_context& context) {
  const auto state = ending_.find(id);
  session* target = sessions_.Find(id);
  if (state == ending_.end() || state->second || target == nullptr ||
      calls_.HasCallsOf(id)) {
    return;
  }
  for (const session_id& child : target->children()) {
    if (sessions_.Find(child) != nullptr) {
      return;
    }
  }
  state->second = true;
  sessions_.Append(
      *target, session_ended{},
      [this, id](node_context& later) { CompleteEnd(id, later); }, context);
}

void session_operations::CompleteEnd(const session_id& id,
                                     node_context& context) {
  const session* target = sessions_.Find(id);
  const budget_amount used = target->funds().Committed();
  const std::optional<session_id> parent = target->opened().parent;
  context.counters.Add("sessions.ended");
  scheduling_.SessionEnded(id, context);
  calls_.events().Erase(id);
  sessions_.Retire(id, context);
  ending_.erase(id);
  const auto requests = end_requests_.equal_range(id);
  std::vector<std::uint64_t> waiting;
  for (auto at = requests.first; at != requests.second; ++at) {
    waiting.push_back(at->second);
  }
  end_requests_.erase(id);
  for (const std::uint64_t pending : waiting) {
    AnswerPending(pending, json{{"id", id}, {"ended", true}, {"used", used}},
                  context);
  }
  session* parent_session = parent ? sessions_.Find(*parent) : nullptr;
  if (parent_session == nullptr) {
    return;
  }
  child_ended returned;
  returned.child = id;
  returned.used = used;
  sessions_.Append(
      *parent_session, std::move(returned), [](node_context& /*later*/) {},
      context);
  TryEnd(*parent, context);
}

void session_operations::AbandonShard(const shard_id& shard,
                                      const std::string& owner_address,
                                      node_context& context) {
  restored_shards_.erase(shard);
  for (auto at = pending_.begin(); at != pending_.end();) {
    if (at->second.shard != shard) {
      ++at;
      continue;
    }
    const pending_request lost = at->second;
    at = pending_.erase(at);
    error reason =
        lost.is_opening
            ? session_errors::OutcomeUnknown("the session may have been opened")
            : session_errors::Moved(owner_address, call_outcome::unknown);
    answers_.Reply(lost.route, std::move(reason), context);
  }
  for (auto at = ending_.begin(); at != ending_.end();) {
    if (ShardOf(at->first) == shard) {
      end_requests_.erase(at->first);
      at = ending_.erase(at);
    } else {
      ++at;
    }
  }
}

void session_operations::FinishInterruptedCalls(session& adopted,
                                                node_context& context) {
  for (const call_started& open : adopted.OpenCalls()) {
    call_finished result;
    result.call = open.call;
    result.outcome = call_outcome::unknown;
    // The caller can send a repeatable call again at the same position. The
    // reservation of the interrupted attempt stays spent.
    result.position_free = open.repeatable;
    result.failure = session_errors::OutcomeUnknown(
        "the daemon that ran the call has failed; the call is not repeated");
    context.counters.Add("calls.interrupted");
    sessions_.Append(
        adopted, std::move(result), [](node_context& /*later*/) {}, context);
  }
}

void session_operations::AdoptShard(const shard_id& shard,
                                    bool restored,
                                    node_context& context) {
  if (restored) {
    restored_shards_.insert(shard);
  }
  for (session* adopted : sessions_.InShard(shard)) {
    FinishInterruptedCalls(*adopted, context);
  }
  std::vector<session_id> ended;
  for (session* adopted : sessions_.InShard(shard)) {
    if (!adopted->ended()) {
      continue;
    }
    ended.push_back(adopted->id());
    const auto& parent = adopted->opened().parent;
    session* parent_session = parent ? sessions_.Find(*parent) : nullptr;
    if (parent_session == nullptr ||
        parent_session->children().count(adopted->id()) == 0) {
      continue;
    }
    child_ended returned;
    returned.child = adopted->id();
    returned.used = adopted->funds().Committed();
    sessions_.Append(
        *parent_session, std::move(returned), [](node_context& /*later*/) {},
        context);
  }
  for (const session_id& id : ended) {
    sessions_.Retire(id, context);
  }
}

void session_operations::Tick(node_context& context) {
  std::vector<session_id> ending;
  for (const auto& [id, is_recording] : ending_) {
    ending.push_back(id);
  }
  for (const session_id& id : ending) {
    TryEnd(id, context);
  }
  for (auto at = pending_.begin(); at != pending_.end();) {
    if (context.now < at->second.deadline) {
      ++at;
      continue;
    }
    const answer_route route = at->second.route;
    at = pending_.erase(at);
    answers_.Reply(route,
                   session_errors::OutcomeUnknown(
                       "the request could not be recorded in time"),
                   context);
  }
}

}  // namespace gentian
