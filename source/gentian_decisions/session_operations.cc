#include "gentian_decisions/session_operations.h"

#include <algorithm>
#include <utility>

#include "gentian_decisions/session_errors.h"

namespace gentian {

namespace {

bool IsAbsentOrPositive(const json& body, const char* name) {
  const auto found = body.find(name);
  return found == body.end() ||
         (found->is_number_integer() && found->get<std::int64_t>() > 0);
}

error Malformed(const std::string& message, const std::string& remedy) {
  return {error_kind::malformed_request, message, remedy};
}

std::optional<error> CheckModelBody(const json& body) {
  if (!body.is_object() || !body.contains("messages") ||
      !body.at("messages").is_array()) {
    return Malformed("the body has no list of messages",
                     "send a chat-completions request");
  }
  for (const char* name : {"max_tokens", "max_completion_tokens", "n"}) {
    if (!IsAbsentOrPositive(body, name)) {
      return Malformed(std::string(name) + " is not a positive whole number",
                       "leave it out or send a positive whole number");
    }
  }
  return std::nullopt;
}

}  // namespace

session_operations::session_operations(const cluster_view& cluster,
                                       call_scheduling& scheduling,
                                       session_table& sessions,
                                       call_pipeline& calls,
                                       answer_sink& answers)
    : cluster_(cluster),
      scheduling_(scheduling),
      sessions_(sessions),
      calls_(calls),
      answers_(answers) {}

void session_operations::Refuse(const answer_route& route,
                                error reason,
                                node_context& context) {
  context.counters.Add(std::string("refused.") + NameOf(reason.kind));
  answers_.Reply(route, std::move(reason), context);
}

session* session_operations::FindOrRefuse(const caller_identity& caller,
                                          const session_id& id,
                                          const answer_route& route,
                                          node_context& context) {
  session* found = sessions_.Find(id);
  if (found == nullptr || found->opened().team != caller.team ||
      found->ended() || ending_.count(id) > 0) {
    error reason = session_errors::UnknownSession();
    if (found == nullptr && restored_shards_.count(ShardOf(id)) > 0) {
      // Checkpoints may lack the session, and the call may have run in it.
      reason.outcome = call_outcome::unknown;
    }
    Refuse(route, std::move(reason), context);
    return nullptr;
  }
  return found;
}

std::optional<error> session_operations::ComputeLimits(
    const open_session& operation,
    const team_settings& team,
    const session* parent,
    budget_limits& limits,
    node_context& context) const {
  // A limit that the caller omits defaults to what remains of the parent's
  // budget. An explicit limit that exceeds it is refused below.
  budget_amount remaining{team.budget.tokens, team.budget.calls,
                          team.budget.cost_micros};
  if (parent != nullptr) {
    remaining = parent->funds().Remaining();
  }
  const budget_request& wanted = operation.budget;
  limits.tokens =
      std::min(wanted.tokens.value_or(remaining.tokens), team.budget.tokens);
  limits.calls =
      std::min(wanted.calls.value_or(remaining.calls), team.budget.calls);
  limits.time_ms = std::min(wanted.time_ms.value_or(team.budget.time_ms),
                            team.budget.time_ms);
  limits.cost_micros =
      std::min(wanted.cost_micros.value_or(remaining.cost_micros),
               team.budget.cost_micros);
  if (parent == nullptr) {
    return std::nullopt;
  }
  const auto elapsed =
      static_cast<std::uint64_t>(parent->Elapsed(context.now).count());
  const std::uint64_t time = parent->funds().limits().time_ms;
  limits.time_ms =
      std::min(limits.time_ms, time > elapsed ? time - elapsed : 0);
  const budget_amount reservation{limits.tokens, limits.calls,
                                  limits.cost_micros};
  if (const auto missing = parent->funds().ExceededLimit(
          reservation, parent->Elapsed(context.now))) {
    return session_errors::BudgetSpent(*missing);
  }
  return std::nullopt;
}

void session_operations::Open(const caller_identity& caller,
                              const open_session& operation,
                              const shard_id& shard,
                              const answer_route& route,
                              node_context& context) {
  session* parent = nullptr;
  if (operation.parent) {
    parent = FindOrRefuse(caller, *operation.parent, route, context);
    if (parent == nullptr) {
      return;
    }
  }
  const auto team = cluster_.settings().teams.find(caller.team);
  if (team == cluster_.settings().teams.end() ||
      team->second.programs.count(operation.program) == 0) {
    Refuse(route,
           session_errors::Forbidden("the program " + operation.program.text()),
           context);
    return;
  }
  session_opened opened;
  opened.team = caller.team;
  opened.program = operation.program;
  opened.parent = operation.parent;
  if (auto reason = ComputeLimits(operation, team->second, parent,
                                  opened.limits, context)) {
    Refuse(route, std::move(*reason), context);
    return;
  }
  const std::uint64_t pending = AddPending(shard, route, true, context);
  if (parent == nullptr) {
    OpenRootSession(shard, opened, pending, context);
    return;
  }
  opened.root = parent->opened().root;
  const session_id id = sessions_.NewId(shard, context);
  child_opened reservation;
  reservation.child = id;
  reservation.reservation = {opened.limits.tokens, opened.limits.calls,
                             opened.limits.cost_micros};
  sessions_.Append(
      *parent, std::move(reservation),
      [this, id, opened, pending](node_context& later) {
        const session* parent_session = sessions_.Find(*opened.parent);
        if (parent_session->ended() || ending_.count(*opened.parent) > 0) {
          FailPending(pending, session_errors::UnknownSession(), later);
          return;
        }
        sessions_.Insert(std::make_unique<session>(id, later.now));
        RecordOpening(id, opened, pending, later);
      },
      context);
}

void session_operations::OpenRootSession(const shard_id& shard,
                                         const session_opened& opened,
                                         std::uint64_t pending,
                                         node_context& context) {
  session& created = sessions_.Create(shard, context);
  session_opened body = opened;
  body.root = created.id();
  RecordOpening(created.id(), body, pending, context);
}

void session_operations::RecordOpening(const session_id& id,
                                       const session_opened& opened,
                                       std::uint64_t pending,
                                       node_context& context) {
  const budget_limits limits = opened.limits;
  sessions_.Append(
      *sessions_.Find(id), opened,
      [this, id, limits, pending](node_context& later) {
        later.counters.Add("sessions.opened");
        AnswerPending(pending, json{{"id", id}, {"budget", limits}}, later);
      },
      context);
}

std::string session_operations::IdempotencyKeyFor(
    const std::string& given,
    const std::optional<std::uint64_t>& sequence,
    const session& owner,
    const answer_route& route) const {
  if (!given.empty()) {
    return "key:" + given;
  }
  if (sequence) {
    // The caller may have sent an idempotency key with the call at that
    // position.
    const session_call* known = owner.FindCall(*sequence);
    return known != nullptr ? known->start.idempotency_key
                            : "sequence:" + std::to_string(*sequence);
  }
  const incarnation& entry = route.IsLocal() ? cluster_.self() : route.via;
  return "request:" + entry.ToString() + ":" + std::to_string(route.id);
}

template <typename Operation>
call_request session_operations::RequestFor(const caller_identity& caller,
                                            const Operation& operation,
                                            const session& owner,
                                            const answer_route& route) const {
  call_request request;
  request.session = operation.session;
  request.team = caller.team;
  request.sequence = operation.sequence;
  request.key_hash = caller.key_hash;
  request.body = operation.body;
  request.idempotency_key = IdempotencyKeyFor(operation.idempotency_key,
                                              operation.sequence, owner, route);
  return request;
}

void session_operations::Call(const caller_identity& caller,
                              const model_call& operation,
                              const answer_route& route,
                              node_context& context) {
  session* owner = FindOrRefuse(caller, operation.session, route, context);
  if (owner == nullptr) {
    return;
  }
  if (auto reason = CheckModelBody(operation.body)) {
    Refuse(route, std::move(*reason), context);
    return;
  }
  const auto& settings = cluster_.settings();
  const auto program = settings.programs.find(owner->opened().program);
  if (program == settings.programs.end()) {
    Refuse(route, session_errors::Forbidden("the program"), context);
    return;
  }
  call_request request = RequestFor(caller, operation, *owner, route);
  request.stream = operation.stream;
  request.repeatable = true;
  request.pool = program->second.pool;
  request.deadline = settings.fleet.model_deadline;
  calls_.Submit(std::move(request), route, context);
}

void session_operations::Call(const caller_identity& caller,
                              const tool_call& operation,
                              const answer_route& route,
                              node_context& context) {
  session* owner = FindOrRefuse(caller, operation.session, route, context);
  if (owner == nullptr) {
    return;
  }
  const auto& settings = cluster_.settings();
  const auto program = settings.programs.find(owner->opened().program);
  const auto tool = settings.tools.find(operation.tool);
  if (program == settings.programs.end() || tool == settings.tools.end() ||
      program->second.tools.count(operation.tool) == 0) {
    Refuse(route, session_errors::Forbidden("the tool " + operation.tool),
           context);
    return;
  }
  call_request request = RequestFor(caller, operation, *owner, route);
  request.tool = operation.tool;
  request.repeatable = operation.repeatable && tool->second.repeatable;
  request.pool = tool->second.pool;
  request.path = tool->second.path;
  request.deadline = tool->second.deadline;
  if (owner->restored() && !request.repeatable &&
      owner->FindByKey(request.idempotency_key) == nullptr) {
    // The call may have run after the checkpoint was written.
    Refuse(route, session_errors::SessionRestored(), context);
    return;
  }
  calls_.Submit(std::move(request), route, context);
}

void session_operations::Resume(const caller_identity& caller,
                                const resume_events& operation,
                                const answer_route& route,
                                node_context& context) {
  session* owner = FindOrRefuse(caller, operation.session, route, context);
  if (owner != nullptr) {
    calls_.Resume(*owner, operation.call, operation.after_event, route,
                  context);
  }
}

void session_operations::History(const caller_identity& caller,
                                 const read_history& operation,
                                 const answer_route& route,
                                 node_context& context) {
  const session* owner =
      FindOrRefuse(caller, operation.session, route, context);
  if (owner != nullptr) {
    final_answer end;
    end.event_id = 1;
    end.body = owner->History();
    answers_.Reply(route, std::move(end), context);
  }
}

std::uint64_t session_operations::AddPending(const shard_id& shard,
                                             const answer_route& route,
                                             bool is_opening,
                                             node_context& context) {
  constexpr milliseconds kRecordTimeout{10'000};
  pending_request added;
  added.shard = shard;
  added.route = route;
  added.deadline = context.now + kRecordTimeout;
  added.is_opening = is_opening;
  pending_[++last_pending_] = std::move(added);
  return last_pending_;
}

void session_operations::AnswerPending(std::uint64_t id,
                                       json body,
                                       node_context& context) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  const answer_route route = found->second.route;
  pending_.erase(found);
  final_answer end;
  end.event_id = 1;
  end.body = std::move(body);
  answers_.Reply(route, std::move(end), context);
}

void session_operations::FailPending(std::uint64_t id,
                                     error reason,
                                     node_context& context) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  const answer_route route = found->second.route;
  pending_.erase(found);
  Refuse(route, std::move(reason), context);
}

bool session_operations::IsWaitingIn(const shard_id& shard) const {
  return std::any_of(pending_.begin(), pending_.end(), [&](const auto& entry) {
    return entry.second.shard == shard;
  });
}

}  // namespace gentian
