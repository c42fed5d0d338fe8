#include "gentian_decisions/engine_memory.h"

#include <algorithm>
#include <string>
#include <utility>

namespace gentian {

namespace {

// Share of the cache capacity down to which idle sessions are released.
constexpr double kLowWatermark = 0.8;
// A paused session keeps its cache while its probability of return is at least
// this share of that of a session that has just paused, because freed memory
// would go to such sessions.
constexpr double kMinReturnRatio = 0.5;

std::string ReleaseSubject(const session_id& session) {
  return "release " + session.text();
}

}  // namespace

void engine_memory::SetHolding(const target_id& target,
                               const session_id& session,
                               std::uint64_t tokens,
                               steady_time now) {
  engine_record& engine = engines_[target];
  holding& held = engine.holdings[session];
  engine.used_tokens = engine.used_tokens - held.tokens + tokens;
  held.tokens = tokens;
  held.last_used = now;
  holders_[session].insert(target);
}

void engine_memory::EraseHolding(const target_id& target,
                                 const session_id& session) {
  engine_record& engine = engines_[target];
  const auto held = engine.holdings.find(session);
  if (held == engine.holdings.end()) {
    return;
  }
  engine.used_tokens -= held->second.tokens;
  engine.holdings.erase(held);
  const auto found = holders_.find(session);
  found->second.erase(target);
  if (found->second.empty()) {
    holders_.erase(found);
  }
}

void engine_memory::RecordCallStart(const session_id& session,
                                    const target_id& target,
                                    steady_time now) {
  if (session.empty()) {
    return;
  }
  const auto holders = holders_.find(session);
  if (holders != holders_.end()) {
    const target_id& any = *holders->second.begin();
    pauses_.RecordReturn(now - engines_[any].holdings[session].last_used);
  }
  // The session is in use again, so a pending release is obsolete.
  orders_.Cancel(target, ReleaseSubject(session));
  ++active_calls_[session];
}

void engine_memory::RecordCallEnd(const session_id& session,
                                  const target_id& target,
                                  std::uint64_t tokens,
                                  steady_time now) {
  if (session.empty()) {
    return;
  }
  const auto active = active_calls_.find(session);
  if (active != active_calls_.end() && --active->second <= 0) {
    active_calls_.erase(active);
  }
  if (tokens > 0) {
    SetHolding(target, session, tokens, now);
  }
}

void engine_memory::ClearHoldings(const target_id& target) {
  const auto engine = engines_.find(target);
  if (engine == engines_.end()) {
    return;
  }
  std::vector<session_id> sessions;
  for (const auto& [session, held] : engine->second.holdings) {
    sessions.push_back(session);
  }
  for (const session_id& session : sessions) {
    EraseHolding(target, session);
  }
  engine->second.last_event.reset();
}

void engine_memory::Release(const target_id& target,
                            const session_id& session,
                            node_context& context) {
  context.counters.Add("cache.released");
  orders_.Send(target, ReleaseSubject(session), release_cache{session},
               context);
}

void engine_memory::Receive(const target_cache_event& change,
                            node_context& context) {
  engine_record& engine = engines_[change.target];
  if (engine.last_event && change.number <= *engine.last_event) {
    return;
  }
  const bool gap = engine.last_event && change.number != *engine.last_event + 1;
  engine.last_event = change.number;
  if (gap) {
    context.counters.Add("cache.event_gap");
    engine.needs_listing = true;
    orders_.Send(change.target, "list", list_cache{}, context);
  }
  if (change.kind == target_cache_event::change::evicted) {
    EraseHolding(change.target, change.session);
    orders_.Cancel(change.target, ReleaseSubject(change.session));
    return;
  }
  const auto found = engine.holdings.find(change.session);
  const steady_time used =
      found == engine.holdings.end() ? context.now : found->second.last_used;
  SetHolding(change.target, change.session, change.tokens, used);
  if (ended_sessions_.count(change.session) > 0) {
    Release(change.target, change.session, context);
  }
}

void engine_memory::ApplyListing(const target_cache_listing& listing,
                                 node_context& context) {
  engine_record& engine = engines_[listing.target];
  if (engine.last_event && listing.number < *engine.last_event) {
    // Newer events have been applied already, and the listing would revert
    // them.
    orders_.Send(listing.target, "list", list_cache{}, context);
    return;
  }
  engine.last_event = listing.number;
  engine.needs_listing = false;
  std::map<session_id, std::uint64_t> listed;
  for (const cache_holding& held : listing.holdings) {
    listed[held.session] = held.tokens;
  }
  std::vector<session_id> gone;
  for (const auto& [session, held] : engine.holdings) {
    if (listed.count(session) == 0) {
      gone.push_back(session);
    }
  }
  for (const session_id& session : gone) {
    EraseHolding(listing.target, session);
    orders_.Cancel(listing.target, ReleaseSubject(session));
  }
  for (const auto& [session, tokens] : listed) {
    const auto found = engine.holdings.find(session);
    const steady_time used =
        found == engine.holdings.end() ? context.now : found->second.last_used;
    SetHolding(listing.target, session, tokens, used);
    if (ended_sessions_.count(session) > 0) {
      Release(listing.target, session, context);
    }
  }
}

bool engine_memory::Receive(const target_order_answered& answer,
                            node_context& context) {
  const auto order = orders_.Receive(answer, context);
  if (!order) {
    return false;
  }
  if (!answer.ok) {
    return true;
  }
  if (std::holds_alternative<list_cache>(order->body)) {
    target_cache_listing listing = answer.listing;
    listing.target = order->target;
    ApplyListing(listing, context);
  }
  if (const auto* release = std::get_if<release_cache>(&order->body)) {
    EraseHolding(order->target, release->session);
  }
  return true;
}

void engine_memory::Receive(const host_list_received& list) {
  leaving_.clear();
  for (const host_list_entry& entry : list.entries) {
    if (entry.leaving) {
      leaving_.insert(target_id(entry.name));
    }
  }
}

void engine_memory::EndSession(const session_id& session,
                               node_context& context) {
  if (ended_sessions_.count(session) > 0) {
    return;
  }
  ended_sessions_[session] = context.now;
  active_calls_.erase(session);
  const auto holders = holders_.find(session);
  if (holders == holders_.end()) {
    return;
  }
  const std::set<target_id> targets = holders->second;
  const target_id& any = *targets.begin();
  pauses_.RecordEnd(context.now - engines_[any].holdings[session].last_used);
  for (const target_id& target : targets) {
    Release(target, session, context);
  }
}

order_id engine_memory::Import(const session_id& session,
                               const target_id& from,
                               const target_id& to,
                               node_context& context) {
  const auto source = view_.settings().targets.find(from);
  import_cache body{session, from, ""};
  if (source != view_.settings().targets.end()) {
    body.source_address = source->second.address;
  }
  context.counters.Add("cache.imported");
  return orders_.SendOnce(to, body, context);
}

void engine_memory::Tick(const std::set<pool_id>& schedules,
                         node_context& context) {
  orders_.Tick(context);
  if (context.now - last_sweep_ < kSweepInterval) {
    return;
  }
  last_sweep_ = context.now;
  for (auto it = ended_sessions_.begin(); it != ended_sessions_.end();) {
    const bool old = context.now - it->second > kEndedRetention;
    it = old ? ended_sessions_.erase(it) : std::next(it);
  }
  Sweep(schedules, context);
}

void engine_memory::Sweep(const std::set<pool_id>& schedules,
                          node_context& context) {
  for (auto& [id, engine] : engines_) {
    const auto target = view_.settings().targets.find(id);
    if (target == view_.settings().targets.end()) {
      continue;
    }
    if (schedules.count(target->second.pool) > 0) {
      RelievePressure(target->second, engine, context);
    }
  }
}

void engine_memory::RelievePressure(const target_settings& target,
                                    engine_record& engine,
                                    node_context& context) {
  std::vector<std::pair<double, session_id>> idle;
  const double fresh = pauses_.ReturnProbability(duration::zero());
  for (const auto& [session, held] : engine.holdings) {
    if (active_calls_.count(session) > 0 ||
        ended_sessions_.count(session) > 0) {
      continue;
    }
    const duration pause = context.now - held.last_used;
    if (pause > kIdleTimeout) {
      idle.emplace_back(-1.0, session);
      continue;
    }
    const double chance = pauses_.ReturnProbability(pause);
    if (chance < kMinReturnRatio * fresh) {
      idle.emplace_back(chance, session);
    }
  }
  std::sort(idle.begin(), idle.end());
  const auto capacity = static_cast<double>(target.cache_tokens);
  const bool pressed =
      static_cast<double>(engine.used_tokens) > kHighWatermark * capacity;
  double used = static_cast<double>(engine.used_tokens);
  for (const auto& [chance, session] : idle) {
    const bool needed = pressed && used > kLowWatermark * capacity;
    if (chance >= 0 && !needed) {
      break;
    }
    used -= static_cast<double>(engine.holdings[session].tokens);
    Release(target.id, session, context);
  }
}

std::uint64_t engine_memory::CachedTokens(const target_id& target,
                                          const session_id& session) const {
  const auto engine = engines_.find(target);
  if (engine == engines_.end()) {
    return 0;
  }
  const auto held = engine->second.holdings.find(session);
  return held == engine->second.holdings.end() ? 0 : held->second.tokens;
}

std::map<target_id, std::uint64_t> engine_memory::Holders(
    const session_id& session) const {
  std::map<target_id, std::uint64_t> all;
  const auto holders = holders_.find(session);
  if (holders != holders_.end()) {
    for (const target_id& target : holders->second) {
      all[target] = CachedTokens(target, session);
    }
  }
  return all;
}

}  // namespace gentian
