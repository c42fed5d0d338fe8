#include "gentian_decisions/share_manager.h"

#include <algorithm>
#include <string>
#include <vector>

namespace gentian {

namespace {

std::int64_t ToNanoseconds(steady_time time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             time.time_since_epoch())
      .count();
}

steady_time FromNanoseconds(std::int64_t count) {
  return steady_time(
      std::chrono::duration_cast<duration>(std::chrono::nanoseconds(count)));
}

}  // namespace

std::uint32_t share_manager::GroupOf(const team_id& team) {
  return static_cast<std::uint32_t>(StableHash(team.text()) % kGroupCount);
}

template <typename Action>
void share_manager::ForEachTeam(std::uint32_t group, Action action) {
  for (const auto& [id, team] : view_.settings().teams) {
    if (GroupOf(id) == group) {
      action(team);
    }
  }
}

bool share_manager::TryStart(steady_time now) {
  if (started_) {
    return true;
  }
  const configuration& settings = view_.settings();
  const bool alone = settings.daemons.size() <= 1;
  if (!alone && view_.self().epoch == 0) {
    return false;
  }
  started_ = now;
  // In a fleet that has never run, no other daemon can be using this share.
  // After any other start, another daemon may still use an older fleet size,
  // or a delegation by the previous incarnation may still be valid.
  const bool first = view_.self().epoch <= 1 && settings.version <= 1;
  starts_full_ = first;
  for (std::uint32_t group = 0; group < kGroupCount; ++group) {
    own_share& own = groups_[group].own;
    own.in_use = first || alone;
    own.reclaimable_at = now + kFleetSizeTransition;
  }
  return true;
}

void share_manager::UpdateFleetSize(steady_time now) {
  const auto size = static_cast<std::uint32_t>(
      std::max<std::size_t>(view_.settings().daemons.size(), 1));
  if (size == fleet_size_) {
    if (previous_fleet_size_ != fleet_size_ &&
        fleet_size_changed_ + kFleetSizeTransition <= now) {
      previous_fleet_size_ = fleet_size_;
    }
    return;
  }
  previous_fleet_size_ =
      fleet_size_ == 0 ? size : std::max(previous_fleet_size_, fleet_size_);
  fleet_size_ = size;
  fleet_size_changed_ = now;
}

double share_manager::OwnFraction(std::uint32_t group) const {
  const auto found = groups_.find(group);
  if (found == groups_.end() || !found->second.own.in_use) {
    return 0.0;
  }
  return 1.0 / std::max(fleet_size_, previous_fleet_size_);
}

share_bucket& share_manager::Bucket(const team_settings& team,
                                    steady_time now) {
  const bool started = TryStart(now);
  UpdateFleetSize(now);
  const auto [it, is_new] = buckets_.try_emplace(team.id);
  share_bucket& bucket = it->second;
  bucket.Advance(team.rate, team.burst, now);
  bucket.SetOwnFraction(started ? OwnFraction(GroupOf(team.id)) : 0.0);
  if (is_new && starts_full_) {
    bucket.AddTokens(team.burst * bucket.FractionHeld(), team.burst);
  } else {
    bucket.AddTokens(0.0, team.burst);
  }
  return bucket;
}

bool share_manager::IsGranter(std::uint32_t group) const {
  const auto found = group_granters_.find(group);
  return found != group_granters_.end() && found->second == view_.self();
}

std::optional<incarnation> share_manager::Granter(std::uint32_t group) const {
  const auto state = groups_.find(group);
  if (state != groups_.end() && state->second.own.granter) {
    return state->second.own.granter;
  }
  const auto found = group_granters_.find(group);
  if (found == group_granters_.end() || found->second == view_.self()) {
    return std::nullopt;
  }
  return found->second;
}

void share_manager::ReclaimOwnShare(std::uint32_t group, steady_time now) {
  // Advances the buckets first, so that the share adds no tokens for the time
  // in which it was not in use.
  ForEachTeam(group, [&](const team_settings& team) { Bucket(team, now); });
  own_share& own = groups_[group].own;
  own.in_use = true;
  own.granter.reset();
  ForEachTeam(group, [&](const team_settings& team) { Bucket(team, now); });
}

void share_manager::ReleaseDelegatedShares(std::uint32_t group,
                                           node_context& context) {
  group_state& state = groups_[group];
  ForEachTeam(group, [&](const team_settings& team) {
    share_bucket& bucket = Bucket(team, context.now);
    for (const incarnation& holder : state.delegators) {
      bucket.RemoveDelegated(holder.host);
    }
    bucket.AddTokens(0.0, team.burst);
  });
  for (const incarnation& holder : state.delegators) {
    context.Emit(send_to_peer{
        holder.host, share_release{group, state.last_received[holder]}});
  }
  state.delegators.clear();
}

void share_manager::SendOffers(std::uint32_t group, node_context& context) {
  group_state& state = groups_[group];
  if (state.last_offer && context.now - *state.last_offer < kOfferInterval) {
    return;
  }
  state.last_offer = context.now;
  for (const member& other : view_.LiveMembers()) {
    if (other.id != view_.self()) {
      context.Emit(send_to_peer{
          other.id.host, share_offer{group, ToNanoseconds(context.now)}});
    }
  }
}

void share_manager::Tick(node_context& context) {
  if (!TryStart(context.now)) {
    return;
  }
  UpdateFleetSize(context.now);
  std::vector<host_id> hosts;
  std::map<host_id, incarnation> ids;
  for (const member& each : view_.LiveMembers()) {
    hosts.push_back(each.id.host);
    ids[each.id.host] = each.id;
  }
  std::set<std::uint32_t> used;
  for (const auto& [id, team] : view_.settings().teams) {
    used.insert(GroupOf(id));
  }
  for (const std::uint32_t group : used) {
    const auto order =
        RendezvousOrder("team-group-" + std::to_string(group), hosts);
    if (!order.empty()) {
      group_granters_[group] = ids[order.front()];
    }
    group_state& state = groups_[group];
    if (!state.own.in_use && state.own.reclaimable_at <= context.now) {
      ReclaimOwnShare(group, context.now);
    }
    if (IsGranter(group)) {
      SendOffers(group, context);
    } else if (!state.delegators.empty()) {
      ReleaseDelegatedShares(group, context);
    }
  }
}

bool share_manager::MayDelegate(std::uint32_t group, steady_time now) {
  bool allowed = true;
  ForEachTeam(group, [&](const team_settings& team) {
    const share_bucket& bucket = Bucket(team, now);
    // Outstanding tokens occupy part of the capacity of the shares held. If
    // they need the own share's capacity, delegating the share would let its
    // new holder refill that capacity and exceed the burst.
    const double rest =
        (bucket.FractionHeld() - OwnFraction(group)) * team.burst;
    allowed = allowed && bucket.outstanding() <= rest;
  });
  return allowed;
}

void share_manager::Receive(const incarnation& from,
                            const share_offer& offer,
                            node_context& context) {
  if (!TryStart(context.now) || IsGranter(offer.group)) {
    return;
  }
  group_state& state = groups_[offer.group];
  const bool renewal = state.own.granter && *state.own.granter == from;
  if (!renewal &&
      (!state.own.in_use || !MayDelegate(offer.group, context.now))) {
    return;
  }
  share_delegation answer;
  answer.granter = from;
  answer.group = offer.group;
  answer.granter_time = offer.granter_time;
  answer.sequence = ++state.last_sent_sequence;
  UpdateFleetSize(context.now);
  answer.fleet_size = std::max(fleet_size_, previous_fleet_size_);
  const double part = OwnFraction(offer.group);
  if (!renewal) {
    ForEachTeam(offer.group, [&](const team_settings& team) {
      share_bucket& bucket = Bucket(team, context.now);
      answer.levels[team.id.text()] = bucket.TakeTokens(part * team.burst);
    });
    state.own.in_use = false;
    state.own.granter = from;
    ForEachTeam(offer.group,
                [&](const team_settings& team) { Bucket(team, context.now); });
  }
  state.own.reclaimable_at = context.now + kDelegationReclaimDelay;
  context.Emit(send_to_peer{from.host, std::move(answer)});
}

void share_manager::Receive(const incarnation& from,
                            const share_delegation& message,
                            node_context& context) {
  const steady_time offered = FromNanoseconds(message.granter_time);
  const steady_time expiry = offered + kDelegationLifetime;
  if (message.granter != view_.self() || message.fleet_size == 0 ||
      offered > context.now || expiry <= context.now) {
    return;
  }
  group_state& state = groups_[message.group];
  std::uint64_t& last = state.last_received[from];
  if (message.sequence <= last) {
    return;
  }
  last = message.sequence;
  for (auto it = state.delegators.begin(); it != state.delegators.end();) {
    it = it->host == from.host ? state.delegators.erase(it) : std::next(it);
  }
  state.delegators.insert(from);
  ForEachTeam(message.group, [&](const team_settings& team) {
    share_bucket& bucket = Bucket(team, context.now);
    bucket.AddDelegated(from.host, 1.0 / message.fleet_size, expiry);
    const auto level = message.levels.find(team.id.text());
    if (level != message.levels.end()) {
      bucket.AddTokens(std::max(level->second, 0.0), team.burst);
    }
  });
}

void share_manager::Receive(const incarnation& from,
                            const share_release& message,
                            node_context& context) {
  own_share& own = groups_[message.group].own;
  // The release must name the last delegation, because a later one may still
  // reach the granter.
  if (own.granter != from ||
      message.sequence != groups_[message.group].last_sent_sequence) {
    return;
  }
  own.granter.reset();
  own.reclaimable_at = std::min(own.reclaimable_at,
                                context.now + duration(kReleaseReclaimDelay));
}

}  // namespace gentian
