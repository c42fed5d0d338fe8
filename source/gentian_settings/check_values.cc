#include <algorithm>

#include "gentian_settings/nearest_name.h"
#include "gentian_settings/problem_list.h"
#include "gentian_settings/section_path.h"
#include "gentian_settings/settings_schema.h"

namespace gentian::detail {

namespace {

// Text that is not UTF-8 can not be written as JSON, so that it could be
// neither stored nor shown.
bool IsUtf8(const std::string& text) {
  try {
    json(text).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

bool IsPlain(const std::string& text) {
  const bool control = std::any_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
  });
  return !control && IsUtf8(text) &&
         (text.empty() || (text.front() != ' ' && text.back() != ' '));
}

std::string Suggest(const std::string& nearest, const std::string& fallback) {
  return nearest.empty() ? fallback : "did you mean '" + nearest + "'?";
}

void ReportUnknownSection(const std::string& section, problem_list& problems) {
  static const std::vector<std::string> roots = {
      "fleet", "daemons", "teams", "programs", "pools", "tools", "routes"};
  static const std::string fallback =
      "use /, /fleet, /daemons/<host>, /teams/.../<team>, "
      "/programs/<program>, /pools/<pool>, /pools/<pool>/<target>, "
      "/tools/<tool> or /routes/<route>";
  std::string nearest;
  if (IsSectionPath(section)) {
    std::vector<std::string> parts = SectionParts(section);
    parts[0] = NearestName(parts[0], roots);
    std::string path;
    for (const std::string& part : parts) {
      path += "/" + part;
    }
    if (RoleOf(path).known) {
      nearest = path;
    }
  } else if (!section.empty() && RoleOf("/" + section).known) {
    nearest = "/" + section;
  }
  problems.Add(section, "", "unknown section", Suggest(nearest, fallback));
}

bool IsSetPerSection(const section_role& role, const std::string& key) {
  return std::any_of(
      role.below.begin(), role.below.end(), [&](const section_kind* kind) {
        return std::any_of(
            kind->keys.begin(), kind->keys.end(),
            [&](const settings_key& known) { return known.Matches(key); });
      });
}

void ReportUnknownKey(const std::string& section,
                      const section_role& role,
                      const std::string& key,
                      problem_list& problems) {
  if (IsSetPerSection(role, key)) {
    problems.Add(section, key, "the key can not be inherited",
                 "set it in each section that it is for");
    return;
  }
  const std::vector<std::string> names = KeyNames(role);
  std::string known;
  for (const std::string& name : names) {
    known += (known.empty() ? "" : ", ") + name;
  }
  problems.Add(section, key, "unknown key",
               Suggest(NearestName(key, names), "use one of: " + known));
}

void CheckSection(const std::string& section,
                  const settings_tree::key_values& values,
                  problem_list& problems) {
  const section_role role = RoleOf(section);
  if (!role.known) {
    ReportUnknownSection(section, problems);
    return;
  }
  for (const auto& [key, value] : values) {
    const settings_key* const known = FindKey(role, key);
    if (known == nullptr) {
      ReportUnknownKey(section, role, key, problems);
      continue;
    }
    if (!IsPlain(key) || !IsPlain(value) ||
        key.find_first_of("=[]") != std::string::npos) {
      problems.Add(section, key,
                   "text with control characters, brackets in the key, "
                   "blanks at an end or bytes that are not UTF-8",
                   "write plain UTF-8 text");
      continue;
    }
    const auto parsed = ParseValue(known->rule, value);
    if (const auto* mistake = std::get_if<value_mistake>(&parsed)) {
      problems.Add(section, key, mistake->reason, mistake->remedy);
    }
  }
}

}  // namespace

void problem_list::Add(const std::string& section,
                       const std::string& key,
                       std::string reason,
                       std::string remedy) {
  settings_position position = tree_.PositionOf(section, key);
  if (position.line == 0) {
    position = tree_.PositionOf(section, "");
  }
  problems_.push_back({std::move(position.file), position.line, section, key,
                       std::move(reason), std::move(remedy)});
}

void CheckValues(const settings_tree& tree, problem_list& problems) {
  for (const auto& [section, values] : tree.sections()) {
    CheckSection(section, values, problems);
  }
}

}  // namespace gentian::detail
