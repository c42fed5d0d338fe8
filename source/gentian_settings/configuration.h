#ifndef GENTIAN_SETTINGS_CONFIGURATION_H_
#define GENTIAN_SETTINGS_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_settings/budget_limits.h"

namespace gentian {

/** A daemon of the fleet as the operators list it. */
struct daemon_settings {
  host_id host;
  failure_domain_id failure_domain;
  /** `ip:port` for links between daemons. */
  std::string peer_address;
  /** `ip:port` that callers connect to. */
  std::string caller_address;
  /** True if the host has a data folder; preferred as a replica. */
  bool has_data_folder = false;
};

/** A team: its rate, burst, weight, keys and the programs it may run. */
struct team_settings {
  team_id id;
  /** Requests a second across the fleet. */
  double rate = 10.0;
  /** Requests that may come at once across the fleet. */
  double burst = 20.0;
  /** Share of a busy pool relative to other teams. */
  double weight = 1.0;
  /** SHA-256 of each granted key, lower-case hexadecimal. */
  std::set<std::string> key_hashes;
  std::set<program_id> programs;
  /** Largest budget that a session of this team may ask for. */
  budget_limits budget;
};

/** An agent program. */
struct program_settings {
  program_id id;
  /** Pool that serves its model calls. */
  pool_id pool;
  /** Higher classes go first in a team's queue. */
  int priority = 0;
  /** Tools that its sessions may call. */
  std::set<std::string> tools;
};

/** Kinds of targets. */
enum class target_kind { engine, tool_service };

/** A set of interchangeable targets. */
struct pool_settings {
  pool_id id;
  target_kind kind = target_kind::engine;
  /** Model name sent to engines; empty for tool services. */
  std::string model;
};

/** One target. */
struct target_settings {
  target_id id;
  pool_id pool;
  failure_domain_id failure_domain;
  /** `ip:port` of its HTTP interface. */
  std::string address;
  /** Calls that it runs at once. */
  std::uint32_t slots = 8;
  /** Tokens that its prefix cache holds; 0 for tool services. */
  std::uint64_t cache_tokens = 0;
  /** True if it refuses orders with an old fencing number. */
  bool checks_fencing = false;
  /** True if HTTP 429 and 503 with `X-Not-Run: true` can be trusted. */
  bool reports_not_run = false;
  /** True if it gets no new work. */
  bool leaving = false;
};

/** A tool that sessions call by name. */
struct tool_settings {
  std::string name;
  pool_id pool;
  /** Path of the HTTP request to the target. */
  std::string path;
  /** True if a call may run more than once. */
  bool repeatable = false;
  milliseconds deadline{30'000};
};

/** A route to a plain service outside sessions. */
struct route_settings {
  /** Path prefix on the callers' interface. */
  std::string prefix;
  pool_id pool;
  /** True if no key is needed. */
  bool open_to_all = false;
  bool repeatable = false;
  milliseconds deadline{30'000};
};

/** Limits that apply to the whole fleet. */
struct fleet_settings {
  /** Time that callers may keep an address list. */
  milliseconds address_ttl{10'000};
  /** How long a request waits for a rate token before it is refused. */
  milliseconds limits_wait{500};
  /** Longest wait of a call behind higher priority classes. */
  milliseconds max_wait{10'000};
  /** Default deadline of a model call. */
  milliseconds model_deadline{120'000};
  /** Shards of a new incarnation. */
  std::uint32_t shards = 4;
  /** Cost of a thousand tokens, in millionths of the currency unit. */
  std::uint64_t cost_micros_per_1000_tokens = 1'000;
};

/** One accepted version of the operators' configuration, in typed form.

    Built by ParseConfiguration from INI text; state machines read only this.
*/
struct configuration {
  std::uint64_t version = 0;
  fleet_settings fleet;
  std::map<host_id, daemon_settings> daemons;
  std::map<team_id, team_settings> teams;
  std::map<program_id, program_settings> programs;
  std::map<pool_id, pool_settings> pools;
  std::map<target_id, target_settings> targets;
  std::map<std::string, tool_settings> tools;
  std::vector<route_settings> routes;
};

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_CONFIGURATION_H_
