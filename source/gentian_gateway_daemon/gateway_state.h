#ifndef GENTIAN_GATEWAY_DAEMON_GATEWAY_STATE_H_
#define GENTIAN_GATEWAY_DAEMON_GATEWAY_STATE_H_

#include <optional>

#include "gentian_daemon/daemon_metrics.h"
#include "gentian_gateway/gentian_gateway.h"
#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_turns/gentian_turns.h"

namespace gentian {

/** A gateway daemon's view of the cluster. Used on the I/O thread only. */
struct gateway_state {
  explicit gateway_state(const gateway_settings& settings)
      : configuration(settings.withdrawal_bound, settings.configuration_bound),
        membership(MemberKey(settings.host)),
        domains(settings.domains, StableHash(settings.host)) {}

  /** True if requests that need a key can be decided: the configuration is
      fresh, the members are known, and this daemon's record, from which the
      others tell that it still grants allowances, was renewed lately. */
  bool IsFresh(steady_time now) const {
    return configuration.IsFresh(now) && !membership.members().empty() &&
           registered_at && now - *registered_at < configuration.max_age();
  }

  /** True if callers may be sent here. */
  bool CanServe(steady_time now) const {
    return !stop.HasBegun() && IsFresh(now) && !configuration.IsBehind(now);
  }

  configuration_holder configuration;
  target_table targets;
  allowance_meter allowances;
  allowance_holders holders;
  gateway_members membership;
  domain_routers domains;
  relay_tree relays;
  turn_store_directory turn_stores;
  /** When the list of members last changed. */
  steady_time members_changed_at;
  /** When the latest list of members was read that differed from the one
      before, and when the latest one was asked for. */
  steady_time members_change_read_at;
  std::optional<steady_time> members_asked_at;
  /** Age of the list of members from which on it is stale. */
  duration members_max_age{0};
  /** When the last renewal of this daemon's record that succeeded was asked
      for. */
  std::optional<steady_time> registered_at;
  /** True if the key-value service answered the last call. */
  bool store_reached = false;
  planned_stop stop;
  counter_set counters;
  daemon_metrics metrics;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_GATEWAY_STATE_H_
