#include "gentian_decisions/pool_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gentian {

namespace {

// Estimated time to copy a prefix between engines: fixed and per token.
constexpr double kImportFixedMs = 20;
constexpr double kImportMsPerToken = 0.01;
// An import must cost at most this share of recomputing the prefix; the margin
// is there because both are estimates.
constexpr double kMaxImportCostRatio = 0.5;

}  // namespace

double pool_scheduler::WeightOf(const team_id& team) const {
  const auto found = view_.settings().teams.find(team);
  return found == view_.settings().teams.end() ? 1.0 : found->second.weight;
}

std::optional<target_id> pool_scheduler::Submit(const call_key& key,
                                                const work_item& item,
                                                milliseconds waited,
                                                steady_time now) {
  if (slot_holder* holder = board_.Find(key)) {
    holder->refreshed = now;
    return holder->target;
  }
  if (queued_call* waiting = queue_.Find(key)) {
    waiting->last_refreshed = now;
    return std::nullopt;
  }
  last_active_[item.team] = now;
  queue_.Add(queued_call{key, item, now - waited, now});
  return std::nullopt;
}

std::optional<slot_holder> pool_scheduler::Depart(const call_key& key,
                                                  pool_departure::reason why,
                                                  const call_usage& usage,
                                                  steady_time now) {
  queue_.Remove(key);
  std::optional<slot_holder> holder = board_.Free(key, now);
  if (!holder) {
    return holder;
  }
  last_active_[holder->item.team] = now;
  double used = 0;
  if (why == pool_departure::reason::finished) {
    speed_.Record(holder->item, usage, now - holder->assigned);
    const std::uint64_t cached =
        std::min(usage.cached_tokens, usage.prompt_tokens);
    used = static_cast<double>(usage.prompt_tokens - cached +
                               usage.generated_tokens);
  }
  queue_.AdjustCharge(holder->item, WeightOf(holder->item.team),
                      used - holder->charged_tokens, now);
  return holder;
}

void pool_scheduler::ReportRunning(const incarnation& owner,
                                   const std::vector<running_call>& calls,
                                   steady_time now) {
  std::set<ticket_id> listed;
  for (const running_call& call : calls) {
    const call_key key{owner, call.item.ticket};
    listed.insert(key.ticket);
    queue_.Remove(key);
    slot_holder* holder = board_.Find(key);
    if (holder != nullptr && holder->target == call.target) {
      holder->refreshed = now;
      continue;
    }
    board_.Occupy(key, slot_holder{call.item, call.target, now, now, 0, 0});
  }
  for (const call_key& key : board_.CallsOwnedBy(owner)) {
    const bool settled =
        now - board_.Find(key)->assigned > kAssignmentGracePeriod;
    if (settled && listed.count(key.ticket) == 0) {
      Depart(key, pool_departure::reason::withdrawn, {}, now);
    }
  }
}

std::vector<pool_scheduler::candidate> pool_scheduler::Candidates(
    std::uint32_t slot_divisor,
    steady_time now) const {
  std::vector<candidate> all;
  std::size_t slots = 0;
  for (const auto& [id, target] : view_.settings().targets) {
    if (target.pool != pool_ || target.leaving || memory_.IsLeaving(id) ||
        retries_.IsEjected(id, now)) {
      continue;
    }
    candidate each;
    each.target = &target;
    each.limit = target.slots / std::max(slot_divisor, 1U);
    each.in_flight = board_.InFlight(id);
    each.load = board_.Load(id, now);
    each.pending_prefill_tokens =
        board_.PendingPrefill(id, 1 / speed_.prefill_ms_per_token(), now);
    slots += each.limit;
    all.push_back(each);
  }
  if (slots == 0 && !all.empty()) {
    // Each daemon may use at least one slot in the pool. The host name selects
    // the target, so that daemons use different ones.
    const std::uint64_t spread = StableHash(view_.self().host.text());
    candidate& only = all[spread % all.size()];
    only.limit = std::min<std::size_t>(only.target->slots, 1);
  }
  return all;
}

bool pool_scheduler::IsFree(const candidate& each) const {
  return each.in_flight < each.limit &&
         each.load < static_cast<double>(each.target->slots);
}

double pool_scheduler::UncachedTokens(const work_item& item,
                                      const target_id& target) const {
  const auto prompt = static_cast<double>(item.prompt_tokens);
  const auto cached =
      static_cast<double>(memory_.CachedTokens(target, item.session));
  return std::max(prompt - cached, 0.0);
}

pool_scheduler::choice pool_scheduler::EstimateCost(
    const work_item& item,
    const candidate& each) const {
  choice rated;
  rated.target = &each;
  rated.uncached_tokens = UncachedTokens(item, each.target->id);
  const double prefill = rated.uncached_tokens + each.pending_prefill_tokens;
  const double crowding = each.load * speed_.batching_ms_per_token() *
                          speed_.ExpectedGeneratedTokens(item);
  rated.cost_ms = prefill * speed_.prefill_ms_per_token() + crowding;
  if (!IsFree(each)) {
    const double slots = std::max<double>(each.target->slots, 1);
    const double beyond = std::max(each.load - slots, 0.0) + 1;
    rated.cost_ms += beyond * speed_.call_ms() / slots;
  }
  return rated;
}

std::optional<pool_scheduler::choice> pool_scheduler::ChooseTarget(
    const queued_call& call,
    const std::vector<candidate>& all,
    const target_restrictions& restrictions,
    double bound,
    steady_time now) const {
  const auto limits = restrictions.find(call.item.team);
  std::optional<choice> best_free;
  std::optional<choice> best;
  const auto better = [&](const choice& a, const std::optional<choice>& b) {
    if (!b || a.cost_ms != b->cost_ms) {
      return !b || a.cost_ms < b->cost_ms;
    }
    const std::uint64_t seed = StableHash(call.item.session.text());
    return StableHash(a.target->target->id.text(), seed) >
           StableHash(b->target->target->id.text(), seed);
  };
  for (const candidate& each : all) {
    const bool excluded = limits != restrictions.end() &&
                          limits->second.count(each.target->id) == 0;
    if (each.limit == 0 || excluded) {
      continue;
    }
    const choice rated = EstimateCost(call.item, each);
    if (better(rated, best)) {
      best = rated;
    }
    if (IsFree(each) && each.load < bound && better(rated, best_free)) {
      best_free = rated;
    }
  }
  const bool hold = best && !IsFree(*best->target) &&
                    now - call.waiting_since < kMaxTargetWait;
  if (!best_free || hold) {
    return std::nullopt;
  }
  ChooseImportSource(call.item, *best_free);
  return best_free;
}

pool_scheduler::target_restrictions pool_scheduler::RestrictTeams(
    const std::vector<candidate>& all,
    std::uint32_t slot_divisor,
    steady_time now) const {
  target_restrictions restrictions;
  std::map<team_id, std::size_t> demand;
  for (const auto& [team, last] : last_active_) {
    if (now - last <= kActiveRetention) {
      demand[team] = 0;
    }
  }
  queue_.CountByTeam(demand);
  board_.CountByTeam(demand);
  if (slot_divisor > 1 || demand.size() < 2 || all.empty()) {
    return restrictions;
  }
  double weights = 0;
  for (const auto& [team, calls] : demand) {
    weights += WeightOf(team);
  }
  double slots = 0;
  double largest = 0;
  std::vector<target_id> ids;
  for (const candidate& each : all) {
    slots += static_cast<double>(each.limit);
    largest = std::max(largest, static_cast<double>(each.limit));
    ids.push_back(each.target->id);
  }
  for (const auto& [team, calls] : demand) {
    const double share = WeightOf(team) / std::max(weights, 0.001);
    const double fair = std::max(share * slots, largest);
    if (static_cast<double>(calls) <= kExcessFactor * fair) {
      continue;
    }
    // At least one target is left to the other teams.
    const std::size_t most = std::max<std::size_t>(ids.size(), 2) - 1;
    // The order is stable for each team, so that its sessions stay on the
    // targets that hold their cache.
    const auto order = RendezvousOrder("team-" + team.text(), ids);
    const auto count = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(ids.size())));
    const auto end =
        order.begin() +
        static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(count, 1, most));
    restrictions[team] = std::set<target_id>(order.begin(), end);
  }
  return restrictions;
}

void pool_scheduler::ChooseImportSource(const work_item& item,
                                        choice& chosen) const {
  if (chosen.target->target->cache_tokens == 0 || item.session.empty()) {
    return;
  }
  const target_id& target = chosen.target->target->id;
  const std::uint64_t here = memory_.CachedTokens(target, item.session);
  std::uint64_t most = here;
  for (const auto& [holder, tokens] : memory_.Holders(item.session)) {
    const bool usable = view_.settings().targets.count(holder) > 0;
    if (holder != target && tokens > most && usable) {
      most = tokens;
      chosen.import_from = holder;
    }
  }
  const auto saved = static_cast<double>(std::min(most, item.prompt_tokens)) -
                     static_cast<double>(std::min(here, item.prompt_tokens));
  const double import_ms =
      kImportFixedMs + kImportMsPerToken * static_cast<double>(most);
  if (import_ms > kMaxImportCostRatio * saved * speed_.prefill_ms_per_token()) {
    chosen.import_from.reset();
  }
}

std::vector<slot_decision> pool_scheduler::Assign(std::uint32_t slot_divisor,
                                                  steady_time now) {
  std::vector<slot_decision> decisions;
  while (queue_.size() > 0) {
    const std::vector<candidate> all = Candidates(slot_divisor, now);
    double total = 0;
    bool any_free = false;
    for (const candidate& each : all) {
      total += each.load;
      any_free = any_free || IsFree(each);
    }
    if (!any_free) {
      break;
    }
    const double bound =
        kLoadFactor * total / static_cast<double>(all.size()) + kLoadSlack;
    const target_restrictions restrictions =
        RestrictTeams(all, slot_divisor, now);
    std::optional<choice> chosen;
    call_key key;
    queue_.Visit(kLookaheadPerTeam, view_.settings().fleet.max_wait, now,
                 [&](const queued_call& call) {
                   chosen = ChooseTarget(call, all, restrictions, bound, now);
                   key = call.key;
                   return !chosen;
                 });
    if (!chosen) {
      break;
    }
    const queued_call* waiting = queue_.Find(key);
    const double charge =
        chosen->uncached_tokens + speed_.ExpectedGeneratedTokens(waiting->item);
    const queued_call call =
        queue_.Dequeue(key, WeightOf(waiting->item.team), charge, now);
    const target_id target = chosen->target->target->id;
    board_.Occupy(key, slot_holder{call.item, target, now, now,
                                   chosen->uncached_tokens, charge});
    decisions.push_back(
        slot_decision{key, call.item, target, chosen->import_from});
  }
  return decisions;
}

void pool_scheduler::DropStale(steady_time now) {
  queue_.DropStale(now - kRefreshTimeout);
  for (const call_key& key :
       board_.CallsNotRefreshedSince(now - kRefreshTimeout)) {
    Depart(key, pool_departure::reason::withdrawn, {}, now);
  }
  for (auto it = last_active_.begin(); it != last_active_.end();) {
    it = now - it->second > kActiveRetention ? last_active_.erase(it)
                                             : std::next(it);
  }
  queue_.ExpireAttainedService(now);
}

}  // namespace gentian
