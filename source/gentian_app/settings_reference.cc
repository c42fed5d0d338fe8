#include "gentian_app/settings_reference.h"

#include "gentian_daemon/gentian_daemon.h"

namespace gentian {

namespace {

std::string DefaultOf(const settings_key& key) {
  switch (key.need) {
    case presence::defaulted:
      return "`" + key.default_text + "`";
    case presence::optional:
      return "none";
    case presence::required:
      return "required";
  }
  return "";
}

std::string RowOf(const settings_key& key) {
  const std::string range = RangeOf(key.rule);
  return "| `" + key.name + "` | " + NameOf(key.rule.type) +
         (range.empty() ? "" : ": " + range) + " | " + DefaultOf(key) + " | " +
         (key.inherits ? "yes" : "no") + " | " + key.description + " |\n";
}

std::string Heading(const std::string& section) {
  return "\n#### `[" + section +
         "]`\n\n| key | type and range | default | inherited | meaning |\n"
         "|---|---|---|---|---|\n";
}

}  // namespace

std::string SettingsReference() {
  std::string text = "### Operators' settings\n";
  for (const section_kind& kind : SectionKinds()) {
    text += Heading(kind.pattern);
    for (const settings_key& key : kind.keys) {
      text += RowOf(key);
    }
  }
  text += "\n### Daemon's file\n";
  for (const daemon_file_section& section : DaemonFileSections()) {
    text += Heading(section.name);
    for (const auto& field : section.fields) {
      text += RowOf(field.key);
    }
  }
  return text;
}

}  // namespace gentian
