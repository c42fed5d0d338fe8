#include <criterion/criterion.h>

#include <algorithm>

#include "gentian_settings/gentian_settings.h"

using gentian::CheckSettings;
using gentian::configuration;
using gentian::milliseconds;
using gentian::settings_problem;
using gentian::team_id;

namespace {

constexpr const char* kGood = R"([/]
rate = 5/s

[/pools/planner]
model = planner-7b

[/pools/planner/engine-1]
address = 10.0.0.1:9000
cache_tokens = 2M

[/programs/replan]
pool = planner

[/teams/large]
burst = 40
programs = replan

[/teams/large/kiosk]
rate = 120/m
budget.time = 90s

[/teams/large/van]
team = yes
)";

std::string With(const std::string& more) {
  return std::string(kGood) + more;
}

bool Reports(const std::vector<settings_problem>& problems,
             int line,
             const std::string& key,
             const std::string& part) {
  return std::any_of(problems.begin(), problems.end(),
                     [&](const settings_problem& problem) {
                       return problem.line == line && problem.key == key &&
                              ToString(problem).find(part) != std::string::npos;
                     });
}

configuration Built(const std::string& text) {
  const auto tree = gentian::ParseSettings(text, "test.ini");
  const auto built =
      BuildConfiguration(std::get<gentian::settings_tree>(tree), 7);
  return std::get<configuration>(built);
}

}  // namespace

// Guards against a branch that gets another value than the nearest section
// above it sets, and against units that are read wrongly.
Test(settings_check, values_are_inherited_and_converted) {
  const configuration settings = Built(kGood);
  cr_assert_eq(settings.version, 7);
  cr_assert_eq(settings.teams.size(), 2);
  const auto& kiosk = settings.teams.at(team_id("large/kiosk"));
  cr_assert_float_eq(kiosk.rate, 2.0, 1e-9);
  cr_assert_float_eq(kiosk.burst, 40.0, 1e-9);
  cr_assert_eq(kiosk.budget.time_ms, 90'000);
  cr_assert_eq(kiosk.budget.cost_micros, 1'000'000'000);
  const auto& van = settings.teams.at(team_id("large/van"));
  cr_assert_float_eq(van.rate, 5.0, 1e-9);
  const auto& engine = settings.targets.at(gentian::target_id("engine-1"));
  cr_assert_eq(engine.cache_tokens, 2'000'000);
}

// Guards against defaults on the reference page that differ from the ones
// that the code starts with.
Test(settings_check, schema_defaults_match_the_structs) {
  const configuration settings = Built("[/teams/a]\nteam = yes\n");
  const gentian::fleet_settings fleet;
  cr_assert(settings.fleet.address_ttl == fleet.address_ttl);
  cr_assert(settings.fleet.limits_wait == fleet.limits_wait);
  cr_assert(settings.fleet.max_wait == fleet.max_wait);
  cr_assert(settings.fleet.model_deadline == fleet.model_deadline);
  cr_assert_eq(settings.fleet.shards, fleet.shards);
  cr_assert_eq(settings.fleet.cost_micros_per_1000_tokens,
               fleet.cost_micros_per_1000_tokens);
  const auto& team = settings.teams.at(team_id("a"));
  const gentian::team_settings plain;
  cr_assert_float_eq(team.rate, plain.rate, 1e-9);
  cr_assert_float_eq(team.burst, plain.burst, 1e-9);
  cr_assert_float_eq(team.weight, plain.weight, 1e-9);
  cr_assert_eq(team.budget.tokens, plain.budget.tokens);
  cr_assert_eq(team.budget.calls, plain.budget.calls);
  cr_assert_eq(team.budget.time_ms, plain.budget.time_ms);
  cr_assert_eq(team.budget.cost_micros, plain.budget.cost_micros);
}

// Guards against an operator who has to run the check once for each mistake.
Test(settings_check, all_mistakes_are_reported_with_their_lines) {
  const auto problems = CheckSettings(
      "[/fleet]\n"
      "sessions.shard = 4\n"
      "limits.wait = 500\n"
      "[/teems/a]\n"
      "rate = 1/s\n"
      "[/teams/a]\n"
      "burst = 0\n"
      "what is this\n"
      "burst = 3\n"
      "programs = replan\n",
      "x.ini");
  cr_assert_eq(problems.size(), 7);
  cr_assert(Reports(problems, 10, "programs", "no program 'replan'"));
  cr_assert(
      Reports(problems, 2, "sessions.shard", "did you mean 'sessions.shards'"));
  cr_assert(Reports(problems, 3, "limits.wait", "has no unit"));
  cr_assert(Reports(problems, 4, "", "did you mean '/teams/a'"));
  cr_assert(Reports(problems, 7, "burst", "1 to 1000000"));
  cr_assert(Reports(problems, 8, "", "neither a section nor a value"));
  cr_assert(Reports(problems, 9, "burst", "already set in line 7"));
}

// Guards against settings that pass the check and name something that does
// not exist.
Test(settings_check, names_that_lead_nowhere_are_reported) {
  const auto problems = CheckSettings(
      "[/pools/services]\nkind = tool_service\n"
      "[/programs/replan]\npool = services\ntools = book\n"
      "[/tools/order]\npool = servces\npath = /order\n"
      "[/teams/a]\nprograms = replann\n"
      "[/daemons/h1]\npeer_address = 10.0.0.1:1\n"
      "caller_address = 10.0.0.1:1\nfailure_domain = d1\n",
      "x.ini");
  cr_assert(Reports(problems, 4, "pool", "of another kind"));
  cr_assert(Reports(problems, 5, "tools", "there is no tool 'book'"));
  cr_assert(Reports(problems, 7, "pool", "did you mean 'services'"));
  cr_assert(Reports(problems, 10, "programs", "did you mean 'replan'"));
  cr_assert(Reports(problems, 13, "caller_address", "the address is also"));
  cr_assert_eq(problems.size(), 5);
}

// Guards against a team that loses its callers because a section was added
// below it, and against one key that opens two teams.
Test(settings_check, keys_belong_to_exactly_one_team) {
  const std::string hash(64, 'a');
  const auto group = CheckSettings(
      With("[/teams/a]\nkey.one = " + hash + "\n[/teams/a/b]\nrate = 1/s\n"),
      "x.ini");
  cr_assert(Reports(group, 25, "key.one", "group of teams"));
  const auto twice =
      CheckSettings(With("[/teams/a]\nkey.one = " + hash +
                         "\n[/teams/b]\nkey.two = " + hash + "\n"),
                    "x.ini");
  cr_assert(Reports(twice, 27, "key.two", "also belongs to /teams/a"));
  const auto inherited =
      CheckSettings(With("[/teams]\nkey.one = " + hash + "\n"), "x.ini");
  cr_assert(Reports(inherited, 25, "key.one", "can not be inherited"));
}

// Guards against numbers that pass although the type can not hold them.
Test(settings_check, numbers_outside_their_type_are_reported) {
  for (const char* const line :
       {"burst = 1e3", "burst = -1", "burst = inf", "burst = 1.5", "burst = 2g",
        "rate = nan/s", "rate = 10", "rate = 10/h", "weight = 0",
        "budget.cost = 0.0000001", "budget.time = 10d",
        "budget.tokens = ", "budget.calls = 99999999999999999999"}) {
    const auto problems =
        CheckSettings(With(std::string("[/teams/a]\n") + line + "\n"), "x.ini");
    cr_assert_eq(problems.size(), 1, "%s", line);
    cr_assert_eq(problems[0].line, 25, "%s", line);
  }
}
