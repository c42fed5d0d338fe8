#include "gentian_decisions/team_limiter.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "gentian_decisions/event.h"

namespace gentian {

namespace {

// Tokens are prefetched for the calls expected within this time.
constexpr double kPrefetchSeconds = 0.1;
// Limit of prefetched tokens as a fraction of the burst, because they occupy
// its capacity.
constexpr double kMaxPrefetchOfBurst = 0.1;
// Tickets that may queue beyond those that rate and burst can serve within the
// longest wait.
constexpr double kQueueSlack = 16;
// Unsettled tokens are settled at once instead of at the next tick when they
// exceed this fraction of the burst, because the granter cannot refill the
// capacity that they occupy.
constexpr double kMaxUnsettledOfBurst = 0.1;
constexpr double kArrivalSmoothing = 0.3;

// A granter serves waiting requests at each tick and each message. A small
// burst that fills up between two ticks would waste tokens, so it is requested
// from more often.
duration RequestInterval(const team_settings& team) {
  constexpr double kShortestSeconds = 0.01;
  const double longest = ToSeconds(team_limiter::kRequestTimeout);
  const double half_fill_time = 0.5 * team.burst / std::max(team.rate, 0.001);
  return FromSeconds(std::clamp(half_fill_time, kShortestSeconds, longest));
}

}  // namespace

void team_limiter::Refuse(ticket_id ticket,
                          const team_settings& team,
                          std::size_t ahead) {
  const double seconds =
      static_cast<double>(ahead + 1) / std::max(team.rate, 0.001);
  error reason{error_kind::rate_limited,
               "team '" + team.id.text() + "' is above its rate",
               "retry after the stated time, or ask for a higher rate"};
  reason.retry_after = ToMilliseconds(FromSeconds(std::min(seconds, 60.0)));
  decisions_.push_back(limit_decision{ticket, std::move(reason)});
}

void team_limiter::CloseFrontBatch(team_state& state) {
  const granted_batch& batch = state.batches.front();
  state.settled[batch.granter].push_back({batch.batch, batch.left});
  state.unsettled_tokens += batch.tokens;
  state.batches.pop_front();
}

bool team_limiter::TakeGranted(team_state& state, steady_time now) {
  while (!state.batches.empty()) {
    granted_batch& batch = state.batches.front();
    const bool usable = now - batch.requested < kGrantLifetime;
    if (usable) {
      --batch.left;
    }
    if (!usable || batch.left == 0) {
      CloseFrontBatch(state);
    }
    if (usable) {
      return true;
    }
  }
  return false;
}

void team_limiter::AdmitFront(team_state& state) {
  decisions_.push_back(
      limit_decision{state.queue.front().ticket, std::nullopt});
  state.queue.pop_front();
}

void team_limiter::ServePeerRequest(
    const team_settings& team,
    team_state& state,
    std::map<incarnation, peer_request>::iterator first,
    node_context& context) {
  share_bucket& bucket = shares_.Bucket(team, context.now);
  grant_answer answer;
  answer.team = team.id;
  answer.request = first->second.request;
  answer.batch = ++last_batch_;
  answer.tokens = bucket.Issue(answer.batch, first->second.tokens, context.now);
  context.Emit(send_to_peer{first->first.host, std::move(answer)});
  // If the batch is smaller than requested, the other daemon requests again.
  state.peer_requests.erase(first);
}

void team_limiter::Serve(const team_settings& team,
                         team_state& state,
                         node_context& context) {
  while (!state.queue.empty() && TakeGranted(state, context.now)) {
    AdmitFront(state);
  }
  for (;;) {
    // Tickets and requests of other daemons are served in order of arrival.
    auto first = state.peer_requests.end();
    for (auto it = state.peer_requests.begin(); it != state.peer_requests.end();
         ++it) {
      if (first == state.peer_requests.end() ||
          it->second.since < first->second.since) {
        first = it;
      }
    }
    const bool local = !state.queue.empty() &&
                       (first == state.peer_requests.end() ||
                        state.queue.front().since <= first->second.since);
    share_bucket& bucket = shares_.Bucket(team, context.now);
    if ((!local && first == state.peer_requests.end()) || bucket.level() < 1) {
      return;
    }
    if (local) {
      bucket.TakeOne();
      AdmitFront(state);
    } else {
      ServePeerRequest(team, state, first, context);
    }
  }
}

void team_limiter::Acquire(ticket_id ticket,
                           const team_id& id,
                           node_context& context) {
  // Public routes have no team and no rate of their own.
  if (id.empty()) {
    decisions_.push_back(limit_decision{ticket, std::nullopt});
    return;
  }
  const auto found = view_.settings().teams.find(id);
  if (found == view_.settings().teams.end()) {
    decisions_.push_back(limit_decision{
        ticket, error{error_kind::unauthorized,
                      "team '" + id.text() + "' is not configured",
                      "use a key of a configured team"}});
    return;
  }
  const team_settings& team = found->second;
  team_state& state = teams_[id];
  ++state.arrivals;
  const double wait = ToSeconds(view_.settings().fleet.limits_wait);
  const double room = team.rate * wait + team.burst + kQueueSlack;
  if (static_cast<double>(state.queue.size()) >= room) {
    Refuse(ticket, team, state.queue.size());
    return;
  }
  state.queue.push_back(waiting_ticket{ticket, context.now});
  Serve(team, state, context);
  RequestTokens(team, state, context);
  SettleIfLarge(team, state, context);
}

void team_limiter::Cancel(ticket_id ticket, const team_id& team) {
  auto& queue = teams_[team].queue;
  queue.erase(std::remove_if(queue.begin(), queue.end(),
                             [&](const waiting_ticket& waiting) {
                               return waiting.ticket == ticket;
                             }),
              queue.end());
}

void team_limiter::Return(const team_id& id, node_context& context) {
  const auto found = view_.settings().teams.find(id);
  if (found == view_.settings().teams.end()) {
    return;
  }
  // If the share has been delegated meanwhile, the bucket has no capacity for
  // the token, and it is lost.
  shares_.Bucket(found->second, context.now)
      .AddTokens(1.0, found->second.burst);
  Serve(found->second, teams_[id], context);
}

void team_limiter::RequestTokens(const team_settings& team,
                                 team_state& state,
                                 node_context& context) {
  // An unanswered prefetch does not delay a request for waiting calls.
  const bool answered_soon =
      state.pending &&
      context.now - state.pending->sent < RequestInterval(team);
  if (answered_soon && (state.pending->calls_wait || state.queue.empty())) {
    return;
  }
  const auto granter = shares_.Granter(share_manager::GroupOf(team.id));
  if (!granter) {
    return;
  }
  std::uint32_t held = 0;
  for (const granted_batch& batch : state.batches) {
    held += batch.left;
  }
  const auto ahead = static_cast<std::uint32_t>(
      std::floor(std::min(state.arrival_rate * kPrefetchSeconds,
                          kMaxPrefetchOfBurst * team.burst)));
  const auto waiting = static_cast<std::uint32_t>(state.queue.size());
  if (waiting == 0 && (ahead == 0 || held > ahead / 2)) {
    return;
  }
  if (state.pending) {
    state.abandoned[state.pending->number] = state.pending->sent;
  }
  state.pending =
      pending_request{*granter, ++state.last_request, context.now, waiting > 0};
  grant_request request;
  request.granter = *granter;
  request.team = team.id;
  request.request = state.last_request;
  request.tokens = waiting;
  request.prefetch = ahead - std::min(held, ahead);
  if (waiting > 0) {
    request.waited = ToMilliseconds(context.now - state.queue.front().since);
  }
  request.settled = std::move(state.settled[*granter]);
  state.settled.erase(*granter);
  state.unsettled_tokens = 0;
  context.Emit(send_to_peer{granter->host, std::move(request)});
}

void team_limiter::Expire(const team_settings& team,
                          team_state& state,
                          node_context& context) {
  while (!state.batches.empty() &&
         context.now - state.batches.front().requested >= kUnusedReturnDelay) {
    CloseFrontBatch(state);
  }
  for (auto it = state.abandoned.begin(); it != state.abandoned.end();) {
    const bool old =
        context.now - it->second > share_bucket::kBatchLifetime * 3;
    it = old ? state.abandoned.erase(it) : std::next(it);
  }
  for (auto it = state.peer_requests.begin();
       it != state.peer_requests.end();) {
    const bool old = context.now - it->second.received >= kGrantLifetime;
    it = old ? state.peer_requests.erase(it) : std::next(it);
  }
  // One tick early, because the next tick would exceed the longest wait.
  const duration wait = view_.settings().fleet.limits_wait - kTickInterval;
  while (!state.queue.empty() &&
         context.now - state.queue.front().since > wait) {
    Refuse(state.queue.front().ticket, team, state.queue.size());
    state.queue.pop_front();
  }
}

void team_limiter::CountArrivals(team_state& state, steady_time now) {
  const double seconds = ToSeconds(now - state.arrivals_since);
  if (seconds < kPrefetchSeconds) {
    return;
  }
  const double rate = static_cast<double>(state.arrivals) / seconds;
  state.arrival_rate += kArrivalSmoothing * (rate - state.arrival_rate);
  state.arrivals = 0;
  state.arrivals_since = now;
}

void team_limiter::SettleIfLarge(const team_settings& team,
                                 team_state& state,
                                 node_context& context) {
  if (state.unsettled_tokens > kMaxUnsettledOfBurst * team.burst) {
    SendSettlements(team.id, state, context);
  }
}

void team_limiter::SendSettlements(const team_id& team,
                                   team_state& state,
                                   node_context& context) {
  for (auto& [granter, batches] : state.settled) {
    grant_request message;
    message.granter = granter;
    message.team = team;
    message.settled = std::move(batches);
    context.Emit(send_to_peer{granter.host, std::move(message)});
  }
  state.settled.clear();
  state.unsettled_tokens = 0;
}

void team_limiter::Tick(node_context& context) {
  shares_.Tick(context);
  for (auto& [id, state] : teams_) {
    const auto found = view_.settings().teams.find(id);
    if (found == view_.settings().teams.end()) {
      team_settings removed;
      removed.id = id;
      for (const waiting_ticket& waiting : state.queue) {
        Refuse(waiting.ticket, removed, 0);
      }
      state.queue.clear();
      continue;
    }
    CountArrivals(state, context.now);
    Serve(found->second, state, context);
    Expire(found->second, state, context);
    RequestTokens(found->second, state, context);
    SendSettlements(id, state, context);
  }
}

void team_limiter::Receive(const incarnation& from,
                           const grant_request& request,
                           node_context& context) {
  const auto found = view_.settings().teams.find(request.team);
  if (request.granter != view_.self() ||
      found == view_.settings().teams.end()) {
    return;
  }
  const team_settings& team = found->second;
  team_state& state = teams_[request.team];
  share_bucket& bucket = shares_.Bucket(team, context.now);
  for (const grant_settlement& settlement : request.settled) {
    bucket.Settle(settlement.batch, settlement.unused, team.burst);
  }
  std::uint64_t& last = state.last_served[from];
  // Number 0 marks a message that only settles; it must not replace a waiting
  // request.
  if (request.request <= last) {
    return;
  }
  last = request.request;
  state.peer_requests.erase(from);
  if (request.tokens > 0) {
    state.peer_requests[from] =
        peer_request{request.request, request.tokens,
                     context.now - request.waited, context.now};
  }
  Serve(team, state, context);
  // Each request accepts one answer, so a request for waiting calls gets no
  // prefetched tokens in addition.
  if (request.tokens > 0 || request.prefetch == 0 ||
      !state.peer_requests.empty() || !state.queue.empty()) {
    return;
  }
  grant_answer answer;
  answer.team = request.team;
  answer.request = request.request;
  answer.batch = ++last_batch_;
  answer.tokens = bucket.Issue(answer.batch, request.prefetch, context.now);
  if (answer.tokens > 0) {
    context.Emit(send_to_peer{from.host, std::move(answer)});
  }
}

void team_limiter::Receive(const incarnation& from,
                           const grant_answer& answer,
                           node_context& context) {
  const auto team = view_.settings().teams.find(answer.team);
  if (team == view_.settings().teams.end()) {
    return;
  }
  team_state& state = teams_[answer.team];
  if (state.pending && state.pending->number == answer.request &&
      state.pending->granter == from) {
    state.abandoned[answer.request] = state.pending->sent;
    state.pending.reset();
  }
  // Each request accepts one answer, so repeated answers add no tokens.
  const auto request = state.abandoned.find(answer.request);
  if (request == state.abandoned.end() || answer.tokens == 0) {
    return;
  }
  state.batches.push_back(granted_batch{from, answer.batch, answer.tokens,
                                        answer.tokens, request->second});
  state.abandoned.erase(request);
  Serve(team->second, state, context);
  Expire(team->second, state, context);
  RequestTokens(team->second, state, context);
  SettleIfLarge(team->second, state, context);
}

std::vector<limit_decision> team_limiter::TakeDecisions() {
  return std::exchange(decisions_, {});
}

std::size_t team_limiter::waiting() const {
  std::size_t count = 0;
  for (const auto& [id, state] : teams_) {
    count += state.queue.size();
  }
  return count;
}

}  // namespace gentian
