#include "gentian_settings/settings_assign.h"
#include "gentian_settings/settings_schema.h"

namespace gentian {

namespace {

using detail::Into;

constexpr double kSecond = 1e3;
constexpr double kHour = 3600e3;
constexpr double kDay = 24 * kHour;
constexpr double kMillion = 1e6;
constexpr double kBillion = 1e9;
// The largest cost is a million currency units, held in millionths.
constexpr double kLargestCost = kMillion * kMillion;

value_rule Type(value_type type) {
  return value_rule{type};
}

value_rule Range(value_type type, double least, double most) {
  return value_rule{type, least, most};
}

template <typename Struct>
using assigner = std::function<void(Struct&, const parsed_value&)>;

template <typename Struct>
settings_field<Struct> Defaulted(std::string name,
                                 value_rule rule,
                                 std::string default_text,
                                 assigner<Struct> assign,
                                 std::string description) {
  return {{std::move(name), std::move(rule), presence::defaulted,
           std::move(default_text), true, std::move(description)},
          std::move(assign)};
}

template <typename Struct>
settings_field<Struct> Required(std::string name,
                                value_rule rule,
                                assigner<Struct> assign,
                                std::string description) {
  return {{std::move(name), std::move(rule), presence::required, "", true,
           std::move(description)},
          std::move(assign)};
}

template <typename Struct>
settings_field<Struct> Optional(std::string name,
                                value_rule rule,
                                assigner<Struct> assign,
                                std::string description) {
  return {{std::move(name), std::move(rule), presence::optional, "", true,
           std::move(description)},
          std::move(assign)};
}

// A key that identifies one section and can not come from a section above.
template <typename Struct>
settings_field<Struct> Own(settings_field<Struct> field) {
  field.key.inherits = false;
  return field;
}

}  // namespace

const std::vector<settings_field<fleet_settings>>& FleetFields() {
  using fleet = fleet_settings;
  static const std::vector<settings_field<fleet>> fields = {
      Defaulted("addresses.ttl", Range(value_type::duration, kSecond, kHour),
                "10s", Into(&fleet::address_ttl),
                "Time that callers may keep an address list; a planned stop "
                "lasts at least as long"),
      Defaulted("limits.wait", Range(value_type::duration, 0, 60 * kSecond),
                "500ms", Into(&fleet::limits_wait),
                "How long a request waits for its team's rate before it is "
                "refused with rate_limited"),
      Defaulted("scheduling.max_wait",
                Range(value_type::duration, kSecond, kHour), "10s",
                Into(&fleet::max_wait),
                "Longest wait of a call behind higher priority classes"),
      Defaulted("model.deadline", Range(value_type::duration, kSecond, kHour),
                "2m", Into(&fleet::model_deadline), "Deadline of a model call"),
      Defaulted("sessions.shards", Range(value_type::count, 1, 64), "4",
                Into(&fleet::shards),
                "Shards of a daemon; the load of a daemon that dies spreads "
                "over up to this many others"),
      Defaulted("cost.per_1000_tokens",
                Range(value_type::money, 0, kLargestCost), "0.001",
                Into(&fleet::cost_micros_per_1000_tokens),
                "Cost of a thousand tokens in the currency unit of budgets")};
  return fields;
}

const std::vector<settings_field<daemon_settings>>& DaemonFields() {
  using daemon = daemon_settings;
  static const std::vector<settings_field<daemon>> fields = {
      Own(Required("failure_domain", Type(value_type::name),
                   Into(&daemon::failure_domain),
                   "Failure domain of the host; copies of a session are "
                   "placed in different ones")),
      Own(Required("peer_address", Type(value_type::endpoint),
                   Into(&daemon::peer_address),
                   "Address for links between daemons")),
      Own(Required("caller_address", Type(value_type::endpoint),
                   Into(&daemon::caller_address),
                   "Address that callers connect to")),
      Defaulted("data_folder", Type(value_type::yes_no), "no",
                Into(&daemon::has_data_folder),
                "yes if the host has a disk; preferred for copies")};
  return fields;
}

const std::vector<settings_field<team_settings>>& TeamFields() {
  using team = team_settings;
  static const std::vector<settings_field<team>> fields = {
      Own(Optional<team>(
          "team", Type(value_type::yes_no), [](team&, const parsed_value&) {},
          "yes makes the section a team, no makes it a group; without it a "
          "section with none below it is a team")),
      Own(Optional("key.*", Type(value_type::sha256), Into(&team::key_hashes),
                   "SHA-256 of a granted key; the rest of the name is the "
                   "key's label")),
      Defaulted("rate", Range(value_type::rate, 0, kMillion), "10/s",
                Into(&team::rate),
                "Requests a second of the team across the fleet"),
      Defaulted("burst", Range(value_type::count, 1, kMillion), "20",
                assigner<team>([](team& out, const parsed_value& value) {
                  out.burst =
                      static_cast<double>(std::get<std::uint64_t>(value));
                }),
                "Requests that may come at once across the fleet"),
      Defaulted("weight", Range(value_type::number, 0.01, 100), "1",
                Into(&team::weight),
                "Share of a busy pool relative to other teams"),
      Optional("programs", Type(value_type::name_list), Into(&team::programs),
               "Agent programs that the team may run"),
      Defaulted("budget.tokens", Range(value_type::count, 1, 1000 * kMillion),
                "1M", Into(&team::budget, &budget_limits::tokens),
                "Most tokens of a session, prompts included"),
      Defaulted("budget.calls", Range(value_type::count, 1, kMillion), "200",
                Into(&team::budget, &budget_limits::calls),
                "Most model and tool calls of a session"),
      Defaulted("budget.time", Range(value_type::duration, kSecond, 30 * kDay),
                "1h", Into(&team::budget, &budget_limits::time_ms),
                "Longest time from opening a session to its end"),
      Defaulted("budget.cost", Range(value_type::money, 0, kLargestCost),
                "1000", Into(&team::budget, &budget_limits::cost_micros),
                "Highest cost of a session in the currency unit")};
  return fields;
}

const std::vector<settings_field<program_settings>>& ProgramFields() {
  using program = program_settings;
  static const std::vector<settings_field<program>> fields = {
      Required("pool", Type(value_type::name), Into(&program::pool),
               "Pool of engines for its model calls"),
      Defaulted("priority", Range(value_type::count, 0, 9), "0",
                Into(&program::priority),
                "Higher classes go first in a team's queue"),
      Optional("tools", Type(value_type::name_list), Into(&program::tools),
               "Tools that its sessions may call")};
  return fields;
}

const std::vector<settings_field<pool_settings>>& PoolFields() {
  using pool = pool_settings;
  static const std::vector<settings_field<pool>> fields = {
      Defaulted<pool>(
          "kind",
          value_rule{value_type::choice, 0, 0, {"engine", "tool_service"}},
          "engine",
          [](pool& out, const parsed_value& value) {
            out.kind = std::get<std::string>(value) == "engine"
                           ? target_kind::engine
                           : target_kind::tool_service;
          },
          "Model engines, or tool services and plain services"),
      Optional("model", Type(value_type::text), Into(&pool::model),
               "Model name sent to engines; required for engines")};
  return fields;
}

const std::vector<settings_field<target_settings>>& TargetFields() {
  using target = target_settings;
  static const std::vector<settings_field<target>> fields = {
      Own(Required("address", Type(value_type::endpoint),
                   Into(&target::address), "Address of its HTTP interface")),
      Optional("failure_domain", Type(value_type::name),
               Into(&target::failure_domain), "Failure domain of the target"),
      Defaulted("slots", Range(value_type::count, 1, 65'536), "8",
                Into(&target::slots), "Calls that it runs at once"),
      Defaulted("cache_tokens", Range(value_type::count, 0, kBillion), "0",
                Into(&target::cache_tokens),
                "Tokens that its prefix cache holds; 0 for services"),
      Defaulted("checks_fencing", Type(value_type::yes_no), "no",
                Into(&target::checks_fencing),
                "yes if it refuses a control request with an old fencing "
                "token"),
      Defaulted("reports_not_run", Type(value_type::yes_no), "no",
                Into(&target::reports_not_run),
                "yes if HTTP 429 and 503 with X-Not-Run: true can be trusted"),
      Defaulted("leaving", Type(value_type::yes_no), "no",
                Into(&target::leaving), "yes if it gets no new work")};
  return fields;
}

const std::vector<settings_field<tool_settings>>& ToolFields() {
  using tool = tool_settings;
  static const std::vector<settings_field<tool>> fields = {
      Required("pool", Type(value_type::name), Into(&tool::pool),
               "Pool of tool services that run it"),
      Own(Required("path", Type(value_type::path), Into(&tool::path),
                   "Path of the HTTP request to the target")),
      Defaulted("repeatable", Type(value_type::yes_no), "no",
                Into(&tool::repeatable), "yes if a call may run twice"),
      Defaulted("deadline", Range(value_type::duration, 1, kHour), "30s",
                Into(&tool::deadline), "Deadline of a call")};
  return fields;
}

const std::vector<settings_field<route_settings>>& RouteFields() {
  using route = route_settings;
  static const std::vector<settings_field<route>> fields = {
      Own(Required("prefix", Type(value_type::path), Into(&route::prefix),
                   "Path prefix on the callers' interface")),
      Required("pool", Type(value_type::name), Into(&route::pool),
               "Pool of services that the route leads to"),
      Defaulted("public", Type(value_type::yes_no), "no",
                Into(&route::open_to_all), "yes if callers need no key"),
      Defaulted("repeatable", Type(value_type::yes_no), "no",
                Into(&route::repeatable), "yes if a request may run twice"),
      Defaulted("deadline", Range(value_type::duration, 1, kHour), "30s",
                Into(&route::deadline), "Deadline of a request")};
  return fields;
}

}  // namespace gentian
