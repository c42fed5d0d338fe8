#include "gentian_settings/settings_schema.h"

#include <algorithm>

#include "gentian_settings/section_path.h"

namespace gentian {

namespace {

template <typename Struct>
section_kind KindOf(std::string name,
                    std::string pattern,
                    const std::vector<settings_field<Struct>>& fields) {
  section_kind kind{std::move(name), std::move(pattern), {}};
  for (const settings_field<Struct>& field : fields) {
    kind.keys.push_back(field.key);
  }
  return kind;
}

const section_kind* KindNamed(const std::string& name) {
  for (const section_kind& kind : SectionKinds()) {
    if (kind.name == name) {
      return &kind;
    }
  }
  return nullptr;
}

// Sections below a collection have names; a team's name can have many parts.
struct collection {
  const char* root;
  const char* kind;
};

constexpr collection kCollections[] = {{"daemons", "daemon"},
                                       {"programs", "program"},
                                       {"tools", "tool"},
                                       {"routes", "route"}};

section_role RoleOfPool(std::size_t depth) {
  const section_kind* const pool = KindNamed("pool");
  const section_kind* const target = KindNamed("target");
  switch (depth) {
    case 1:
      return {true, nullptr, {pool, target}};
    case 2:
      return {true, pool, {target}};
    case 3:
      return {true, target, {}};
    default:
      return {};
  }
}

section_role RoleOfRoot() {
  section_role role{true, nullptr, {}};
  for (const section_kind& kind : SectionKinds()) {
    role.below.push_back(&kind);
  }
  return role;
}

}  // namespace

bool settings_key::Matches(const std::string& key) const {
  if (name.size() < 2 || name.compare(name.size() - 2, 2, ".*") != 0) {
    return key == name;
  }
  const std::size_t prefix = name.size() - 1;
  return key.size() > prefix && key.compare(0, prefix, name, 0, prefix) == 0;
}

const std::vector<section_kind>& SectionKinds() {
  static const std::vector<section_kind> kinds = {
      KindOf("fleet", "/fleet", FleetFields()),
      KindOf("daemon", "/daemons/<host>", DaemonFields()),
      KindOf("team", "/teams/.../<team>", TeamFields()),
      KindOf("program", "/programs/<program>", ProgramFields()),
      KindOf("pool", "/pools/<pool>", PoolFields()),
      KindOf("target", "/pools/<pool>/<target>", TargetFields()),
      KindOf("tool", "/tools/<tool>", ToolFields()),
      KindOf("route", "/routes/<route>", RouteFields())};
  return kinds;
}

section_role RoleOf(const std::string& section) {
  if (!IsSectionPath(section)) {
    return {};
  }
  const std::vector<std::string> parts = SectionParts(section);
  if (parts.empty()) {
    return RoleOfRoot();
  }
  if (parts[0] == "fleet" && parts.size() == 1) {
    return {true, KindNamed("fleet"), {}};
  }
  if (parts[0] == "teams") {
    const section_kind* const team = KindNamed("team");
    return {true, parts.size() == 1 ? nullptr : team, {team}};
  }
  if (parts[0] == "pools") {
    return RoleOfPool(parts.size());
  }
  for (const collection& candidate : kCollections) {
    if (parts[0] == candidate.root && parts.size() <= 2) {
      const section_kind* const kind = KindNamed(candidate.kind);
      return parts.size() == 1 ? section_role{true, nullptr, {kind}}
                               : section_role{true, kind, {}};
    }
  }
  return {};
}

const settings_key* FindKey(const section_role& role, const std::string& key) {
  const auto find = [&](const section_kind& kind,
                        bool inherited) -> const settings_key* {
    for (const settings_key& candidate : kind.keys) {
      if (candidate.Matches(key) && (candidate.inherits || !inherited)) {
        return &candidate;
      }
    }
    return nullptr;
  };
  if (role.own != nullptr) {
    if (const settings_key* const found = find(*role.own, false)) {
      return found;
    }
  }
  for (const section_kind* const kind : role.below) {
    if (const settings_key* const found = find(*kind, true)) {
      return found;
    }
  }
  return nullptr;
}

std::vector<std::string> KeyNames(const section_role& role) {
  std::vector<std::string> names;
  if (role.own != nullptr) {
    for (const settings_key& key : role.own->keys) {
      names.push_back(key.name);
    }
  }
  for (const section_kind* const kind : role.below) {
    for (const settings_key& key : kind->keys) {
      if (key.inherits) {
        names.push_back(key.name);
      }
    }
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

}  // namespace gentian
