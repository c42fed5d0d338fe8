#include "gentian_gateway_daemon/path_service.h"

#include <tuple>
#include <utility>
#include <vector>

#include "gentian_log/gentian_log.h"
#include "gentian_net/connection_bounds.h"

namespace gentian {

namespace {

constexpr milliseconds kProbeTickInterval{100};
// A connection within a region takes a few milliseconds.
constexpr milliseconds kProbeLimit{250};
constexpr milliseconds kAvoidTunnel{2'000};
// Targets in a row that a gateway can't reach before it counts as partitioned
// itself.
constexpr int kMaxUnreachable = 2;

tunnel_limits TunnelLimits(const gateway_settings& settings) {
  tunnel_limits limits;
  limits.max_tunnels =
      BoundConnections(settings.descriptors, settings.memory).tunnels;
  return limits;
}

}  // namespace

path_service::path_service(io_pool& pool,
                           const gateway_settings& settings,
                           gateway_state& state)
    : pool_(pool),
      settings_(settings),
      state_(state),
      tunnels_(
          pool,
          [this](const std::string& target) { return Resolve(target); },
          [this](const std::string& target, bool connected) {
            OnTunnelConnected(target, connected);
          },
          TunnelLimits(settings)),
      probing_(pool,
               kProbeTickInterval,
               [this](const repeating_task::round& /*round*/) { Probe(); }) {}

result<success> path_service::Start() {
  if (!settings_.tunnel_address.empty()) {
    result<success> listening = tunnels_.Listen(settings_.tunnel_address);
    if (Failed(listening)) {
      return listening;
    }
  }
  probing_.Start();
  return success{};
}

void path_service::Stop() {
  tunnels_.StopAccepting();
}

const member_record* path_service::TunnelTo(
    const known_target& target,
    const placement_policy& policy) const {
  if (!monitor_.IsPartitioned()) {
    return nullptr;
  }
  const steady_time now = BootTimeNow();
  // A partition often takes a whole failure domain, so gateways in others come
  // first, those near the target before. Without frames, some answers count as
  // broken at their end.
  using rank = std::tuple<bool, bool, bool, std::uint64_t>;
  const member_record* best = nullptr;
  rank best_rank;
  const std::uint64_t seed = StableHash(target.record.id);
  for (const auto& [key, member] : state_.membership.members()) {
    const auto avoided = avoided_tunnels_.find(member.tunnel_address);
    if (member.host == settings_.host || member.stopping ||
        !policy.MayHold(member.failure_domain) ||
        member.tunnel_address.empty() ||
        (avoided != avoided_tunnels_.end() && now < avoided->second)) {
      continue;
    }
    const rank candidate = {
        !member.Knows(peer_protocol::framed_tunnels),
        member.failure_domain == settings_.failure_domain,
        member.failure_domain != target.record.failure_domain,
        StableHash(member.host, seed)};
    if (best == nullptr || candidate < best_rank) {
      best = &member;
      best_rank = candidate;
    }
  }
  return best;
}

void path_service::OnSent(const std::string& target,
                          const std::string& tunnel) {
  if (tunnel.empty()) {
    monitor_.OnSent(target, BootTimeNow());
  } else {
    state_.counters.Add("sent_through_tunnel");
  }
}

void path_service::OnAnswer(const std::string& target,
                            const std::string& tunnel,
                            bool is_new_connection) {
  if (!tunnel.empty()) {
    unreachable_.erase(tunnel);
  } else if (is_new_connection) {
    OnDirectConnection(target);
  }
  OnHeard(target, tunnel);
}

void path_service::OnHeard(const std::string& target,
                           const std::string& tunnel) {
  if (tunnel.empty()) {
    monitor_.OnHeard(target, BootTimeNow());
  }
}

void path_service::OnFailed(const std::string& target,
                            const std::string& tunnel,
                            http_failure failure) {
  if (tunnel.empty()) {
    if (failure == http_failure::not_sent) {
      OnDirectFailure(target);
    } else {
      monitor_.OnBroken(target, BootTimeNow());
      Probe();
    }
    return;
  }
  const bool refused = failure == http_failure::no_tunnel;
  if (refused || (failure == http_failure::not_sent &&
                  ++unreachable_[tunnel] >= kMaxUnreachable)) {
    state_.counters.Add("tunnel_avoided");
    avoided_tunnels_[tunnel] = BootTimeNow() + kAvoidTunnel;
    unreachable_.erase(tunnel);
  }
}

void path_service::OnDirectFailure(const std::string& target) {
  const bool before = monitor_.IsPartitioned();
  monitor_.OnFailed(target, BootTimeNow());
  ReportChange(before);
  Probe();
}

void path_service::OnDirectConnection(const std::string& target) {
  const bool before = monitor_.IsPartitioned();
  monitor_.OnConnected(target, BootTimeNow());
  ReportChange(before);
}

void path_service::ReportChange(bool before) {
  const bool now_partitioned = monitor_.IsPartitioned();
  if (before == now_partitioned) {
    return;
  }
  state_.counters.Add(now_partitioned ? "partitioned_from_targets"
                                      : "reached_targets_again");
  state_.metrics.SetGauge("partitioned_from_targets", now_partitioned ? 1 : 0);
  Log(log_level::warning,
      now_partitioned ? "partitioned from all targets"
                      : "targets reached again",
      {{"failed_targets", monitor_.failed_targets()},
       {"members", state_.membership.members().size()}});
  // Failures of the path say nothing of the targets.
  state_.targets.ForgetFailures();
  if (now_partitioned) {
    const auto watches = std::exchange(watches_, {});
    for (const auto& [number, on_partition] : watches) {
      on_partition();
    }
  }
}

std::uint64_t path_service::Watch(std::function<void()> on_partition) {
  watches_[++last_watch_] = std::move(on_partition);
  return last_watch_;
}

void path_service::Probe() {
  const bool before = monitor_.IsPartitioned();
  std::vector<path_monitor::candidate> known;
  for (const known_target* target : state_.targets.All()) {
    known.push_back({target->record.id, target->record.service});
  }
  const path_monitor::probes due =
      monitor_.TakeProbes(known, random_.Next(), BootTimeNow());
  ReportChange(before);
  for (const std::string& id : due) {
    state_.counters.Add("target_path_probed");
    ProbeConnection(pool_, state_.targets.FindListed(id)->record.address,
                    kProbeLimit, [this, id](bool connected) {
                      if (connected) {
                        OnDirectConnection(id);
                      } else {
                        OnDirectFailure(id);
                      }
                    });
  }
}

result<std::string> path_service::Resolve(const std::string& target) const {
  if (monitor_.IsPartitioned()) {
    return error{error_kind::unavailable, "partitioned from all targets",
                 "ask another gateway"};
  }
  const known_target* known = state_.targets.FindListed(target);
  if (known == nullptr) {
    return error{error_kind::unavailable, "no target has the name",
                 "ask another gateway"};
  }
  if (state_.targets.IsEvacuated(target)) {
    // The other gateway may not know of the evacuation yet.
    return error{error_kind::unavailable,
                 "the target's failure domain is evacuated",
                 "choose another target"};
  }
  return known->record.address;
}

void path_service::OnTunnelConnected(const std::string& target,
                                     bool connected) {
  state_.counters.Add(connected ? "tunnel_opened" : "tunnel_not_opened");
  if (connected) {
    OnDirectConnection(target);
  } else {
    OnDirectFailure(target);
  }
}

}  // namespace gentian
