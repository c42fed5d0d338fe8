#include "gentian_settings/settings_tree.h"

#include <algorithm>
#include <utility>

#include "gentian_settings/ini_reader.h"
#include "gentian_settings/section_path.h"

namespace gentian {

namespace {

void AppendValueChanges(const std::string& section,
                        const settings_tree::key_values& before,
                        const settings_tree::key_values& after,
                        std::vector<settings_change>& changes) {
  for (const auto& [key, value] : before) {
    if (after.count(key) == 0) {
      changes.push_back({section, key, std::nullopt});
    }
  }
  for (const auto& [key, value] : after) {
    const auto found = before.find(key);
    if (found == before.end() || found->second != value) {
      changes.push_back({section, key, value});
    }
  }
}

struct settings_reading {
  settings_tree tree;
  std::vector<settings_problem> problems;
};

settings_reading ReadTree(const std::string& text, const std::string& file) {
  settings_reading reading;
  ini_reading ini = ReadIni(text, file);
  reading.problems = std::move(ini.problems);
  for (const ini_entry& entry : ini.entries) {
    reading.tree.Apply({{entry.section, entry.key, entry.value}});
    reading.tree.SetPosition(entry.section, entry.key, {file, entry.line});
  }
  for (const ini_section& section : ini.sections) {
    reading.tree.SetPosition(section.name, "", {file, section.line});
    if (reading.tree.sections().count(section.name) == 0) {
      reading.problems.push_back(
          {file, section.line, section.name, "", "the section has no values",
           "set a key in it, for example team = yes for a team that inherits "
           "everything, or remove the header"});
    }
  }
  return reading;
}

void SortByLine(std::vector<settings_problem>& problems) {
  std::stable_sort(problems.begin(), problems.end(),
                   [](const settings_problem& a, const settings_problem& b) {
                     return a.line < b.line;
                   });
}

}  // namespace

void settings_tree::Apply(const std::vector<settings_change>& changes) {
  for (const settings_change& change : changes) {
    positions_.erase({change.section, change.key});
    if (change.value) {
      sections_[change.section][change.key] = *change.value;
      continue;
    }
    const auto section = sections_.find(change.section);
    if (section == sections_.end()) {
      continue;
    }
    section->second.erase(change.key);
    // A section exists exactly while it has values, so that change sets can
    // express every difference between two trees.
    if (section->second.empty()) {
      sections_.erase(section);
    }
  }
}

std::optional<effective_value> settings_tree::Find(
    const std::string& section,
    const std::string& key) const {
  std::string path = section;
  while (true) {
    const auto found = sections_.find(path);
    if (found != sections_.end()) {
      const auto value = found->second.find(key);
      if (value != found->second.end()) {
        return effective_value{value->second, path};
      }
    }
    if (path == "/" || path.empty()) {
      return std::nullopt;
    }
    path = SectionAbove(path);
  }
}

std::vector<settings_change> settings_tree::DifferenceTo(
    const settings_tree& other) const {
  static const key_values none;
  std::map<std::string, std::pair<const key_values*, const key_values*>> all;
  for (const auto& [section, values] : sections_) {
    all[section] = {&values, &none};
  }
  for (const auto& [section, values] : other.sections_) {
    const auto entry = all.emplace(section, std::make_pair(&none, &none)).first;
    entry->second.second = &values;
  }
  std::vector<settings_change> changes;
  for (const auto& [section, pair] : all) {
    AppendValueChanges(section, *pair.first, *pair.second, changes);
  }
  return changes;
}

std::string settings_tree::ToIni() const {
  std::string text;
  for (const auto& [section, values] : sections_) {
    text += (text.empty() ? "[" : "\n[") + section + "]\n";
    for (const auto& [key, value] : values) {
      text += key;
      text += value.empty() ? " =\n" : " = " + value + "\n";
    }
  }
  return text;
}

void settings_tree::SetPosition(const std::string& section,
                                const std::string& key,
                                settings_position position) {
  positions_[{section, key}] = std::move(position);
}

settings_position settings_tree::PositionOf(const std::string& section,
                                            const std::string& key) const {
  const auto found = positions_.find({section, key});
  return found == positions_.end() ? settings_position{} : found->second;
}

void to_json(json& out, const settings_tree& tree) {
  out = json::object();
  for (const auto& [section, values] : tree.sections()) {
    out[section] = values;
  }
}

void from_json(const json& in, settings_tree& tree) {
  std::vector<settings_change> changes;
  for (const auto& [section, values] : in.items()) {
    for (const auto& [key, value] : values.items()) {
      changes.push_back({section, key, value.get<std::string>()});
    }
  }
  tree = settings_tree();
  tree.Apply(changes);
}

std::variant<settings_tree, std::vector<settings_problem>> ParseSettings(
    const std::string& text,
    const std::string& file) {
  settings_reading reading = ReadTree(text, file);
  if (reading.problems.empty()) {
    return std::move(reading.tree);
  }
  SortByLine(reading.problems);
  return std::move(reading.problems);
}

std::vector<settings_problem> CheckSettings(const std::string& text,
                                            const std::string& file) {
  settings_reading reading = ReadTree(text, file);
  const auto built = BuildConfiguration(reading.tree, 0);
  if (const auto* found = std::get_if<std::vector<settings_problem>>(&built)) {
    for (settings_problem problem : *found) {
      problem.file = file;
      reading.problems.push_back(std::move(problem));
    }
  }
  SortByLine(reading.problems);
  return std::move(reading.problems);
}

}  // namespace gentian
