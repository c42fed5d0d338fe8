#include <algorithm>
#include <set>

#include "gentian_settings/problem_list.h"
#include "gentian_settings/section_path.h"
#include "gentian_settings/settings_schema.h"
#include "gentian_settings/settings_tree.h"

namespace gentian {

namespace {

using detail::problem_list;

class configuration_builder {
 public:
  configuration_builder(const settings_tree& tree, problem_list& problems)
      : tree_(tree), problems_(problems) {}

  configuration Build(std::uint64_t version) {
    configuration built;
    built.version = version;
    Fill("/fleet", FleetFields(), built.fleet);
    for (const auto& [section, values] : tree_.sections()) {
      Convert(section, built);
    }
    return built;
  }

 private:
  void Convert(const std::string& section, configuration& built) {
    const std::vector<std::string> parts = SectionParts(section);
    if (parts.size() < 2 || !RoleOf(section).known) {
      return;
    }
    if (parts[0] == "daemons") {
      daemon_settings& daemon = built.daemons[host_id(parts[1])];
      daemon.host = host_id(parts[1]);
      Fill(section, DaemonFields(), daemon);
    } else if (parts[0] == "teams") {
      ConvertTeam(section, built);
    } else if (parts[0] == "programs") {
      program_settings& program = built.programs[program_id(parts[1])];
      program.id = program_id(parts[1]);
      Fill(section, ProgramFields(), program);
    } else if (parts[0] == "pools") {
      ConvertPool(parts, section, built);
    } else if (parts[0] == "tools") {
      tool_settings& tool = built.tools[parts[1]];
      tool.name = parts[1];
      Fill(section, ToolFields(), tool);
    } else if (parts[0] == "routes") {
      Fill(section, RouteFields(), built.routes.emplace_back());
    }
  }

  // A section below /teams is a team if it says so, or if it says nothing and
  // no section is below it. Otherwise it is a group. A team that silently
  // became a group would lose its callers, so keys in a group are a mistake.
  void ConvertTeam(const std::string& section, configuration& built) {
    const settings_tree::key_values& values = tree_.sections().at(section);
    const auto marked = values.find("team");
    const bool is_team =
        marked == values.end() ? IsLeaf(section) : marked->second == "yes";
    if (is_team) {
      const team_id id(section.substr(std::string("/teams/").size()));
      team_settings& team = built.teams[id];
      team.id = id;
      Fill(section, TeamFields(), team);
      return;
    }
    for (const auto& [key, value] : values) {
      if (key.rfind("key.", 0) == 0) {
        problems_.Add(section, key,
                      "the section is a group of teams and can have no key",
                      "set team = yes in it, or move the key to a team below");
      }
    }
  }

  // Sections are in path order, where one with the prefix need not be next:
  // `/teams/a-b` sorts between `/teams/a` and `/teams/a/b`.
  bool IsLeaf(const std::string& section) const {
    return std::none_of(
        tree_.sections().lower_bound(section), tree_.sections().end(),
        [&](const auto& other) { return IsBelow(other.first, section); });
  }

  void ConvertPool(const std::vector<std::string>& parts,
                   const std::string& section,
                   configuration& built) {
    const pool_id pool(parts[1]);
    if (built.pools.count(pool) == 0) {
      pool_settings& added = built.pools[pool];
      added.id = pool;
      Fill("/pools/" + parts[1], PoolFields(), added);
    }
    if (parts.size() < 3) {
      return;
    }
    const target_id id(parts[2]);
    const auto [target, added] = built.targets.emplace(id, target_settings());
    if (!added) {
      problems_.Add(section, "",
                    "there is already a target '" + parts[2] + "' in /pools/" +
                        target->second.pool.text(),
                    "give each target a name of its own");
      return;
    }
    target->second.id = id;
    target->second.pool = pool;
    Fill(section, TargetFields(), target->second);
  }

  template <typename Struct>
  void Fill(const std::string& section,
            const std::vector<settings_field<Struct>>& fields,
            Struct& out) {
    for (const settings_field<Struct>& field : fields) {
      if (field.key.name.back() == '*') {
        FillFamily(section, field, out);
        continue;
      }
      const std::optional<effective_value> found = Lookup(section, field.key);
      if (found) {
        Store(field, found->value, out);
      } else if (field.key.need == presence::defaulted) {
        Store(field, field.key.default_text, out);
      } else if (field.key.need == presence::required) {
        problems_.Add(section, field.key.name, "the key is missing",
                      "add it: " + field.key.description);
      }
    }
  }

  std::optional<effective_value> Lookup(const std::string& section,
                                        const settings_key& key) const {
    std::optional<effective_value> found = tree_.Find(section, key.name);
    if (found && !key.inherits && found->origin != section) {
      return std::nullopt;
    }
    return found;
  }

  template <typename Struct>
  void FillFamily(const std::string& section,
                  const settings_field<Struct>& field,
                  Struct& out) {
    const auto found = tree_.sections().find(section);
    if (found == tree_.sections().end()) {
      return;
    }
    for (const auto& [key, value] : found->second) {
      if (field.key.Matches(key)) {
        Store(field, value, out);
      }
    }
  }

  // A value that can not be read was reported by CheckValues.
  template <typename Struct>
  void Store(const settings_field<Struct>& field,
             const std::string& text,
             Struct& out) {
    const auto parsed = ParseValue(field.key.rule, text);
    if (const auto* value = std::get_if<parsed_value>(&parsed)) {
      field.assign(out, *value);
    }
  }

  const settings_tree& tree_;
  problem_list& problems_;
};

}  // namespace

std::variant<configuration, std::vector<settings_problem>> BuildConfiguration(
    const settings_tree& tree,
    std::uint64_t version) {
  problem_list problems(tree);
  detail::CheckValues(tree, problems);
  configuration built = configuration_builder(tree, problems).Build(version);
  detail::CheckReferences(tree, built, problems);
  if (!problems.empty()) {
    return problems.Take();
  }
  return built;
}

}  // namespace gentian
