#include "gentian_settings/effective_change.h"

#include <set>

#include "gentian_settings/section_path.h"
#include "gentian_settings/settings_schema.h"

namespace gentian {

namespace {

// Sections that stand for something: not those that only hold values for the
// sections below. A pool exists by its targets, too, and the fleet always.
std::set<std::string> OwnSections(const settings_tree& tree) {
  std::set<std::string> sections = {"/fleet"};
  for (const auto& [section, values] : tree.sections()) {
    if (RoleOf(section).own == nullptr) {
      continue;
    }
    sections.insert(section);
    if (IsBelow(section, "/pools") && SectionParts(section).size() > 2) {
      sections.insert(SectionAbove(section));
    }
  }
  return sections;
}

std::set<std::string> KeysOf(const std::string& section,
                             const settings_tree& before,
                             const settings_tree& after) {
  std::set<std::string> keys;
  for (const settings_key& key : RoleOf(section).own->keys) {
    keys.insert(key.name);
  }
  for (const settings_tree* const tree : {&before, &after}) {
    const auto found = tree->sections().find(section);
    if (found != tree->sections().end()) {
      for (const auto& [key, value] : found->second) {
        keys.insert(key);
      }
    }
  }
  return keys;
}

bool Differ(const std::optional<effective_value>& a,
            const std::optional<effective_value>& b) {
  return a.has_value() != b.has_value() || (a && a->value != b->value);
}

}  // namespace

std::optional<effective_value> EffectiveValue(const settings_tree& tree,
                                              const std::string& section,
                                              const std::string& key) {
  const settings_key* const known = FindKey(RoleOf(section), key);
  std::optional<effective_value> found = tree.Find(section, key);
  if (found &&
      (known == nullptr || known->inherits || found->origin == section)) {
    return found;
  }
  if (known != nullptr && known->need == presence::defaulted) {
    return effective_value{known->default_text, kDefaultOrigin};
  }
  return std::nullopt;
}

std::vector<effective_change> EffectiveChanges(const settings_tree& before,
                                               const settings_tree& after) {
  const std::set<std::string> old_sections = OwnSections(before);
  const std::set<std::string> new_sections = OwnSections(after);
  std::set<std::string> all = old_sections;
  all.insert(new_sections.begin(), new_sections.end());
  std::vector<effective_change> changes;
  for (const std::string& section : all) {
    for (const std::string& key : KeysOf(section, before, after)) {
      effective_change change{section, key, std::nullopt, std::nullopt};
      if (old_sections.count(section) > 0) {
        change.before = EffectiveValue(before, section, key);
      }
      if (new_sections.count(section) > 0) {
        change.after = EffectiveValue(after, section, key);
      }
      if (Differ(change.before, change.after)) {
        changes.push_back(std::move(change));
      }
    }
  }
  return changes;
}

}  // namespace gentian
