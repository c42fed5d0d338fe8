#ifndef GENTIAN_SETTINGS_SETTINGS_TREE_H_
#define GENTIAN_SETTINGS_SETTINGS_TREE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_settings/configuration.h"
#include "gentian_settings/settings_change.h"
#include "gentian_settings/settings_problem.h"

namespace gentian {

/** A value together with the section that it comes from. */
struct effective_value {
  std::string value;
  std::string origin;
};

/** Where a value was read. */
struct settings_position {
  /** File name, or empty for the configuration held by the fleet. */
  std::string file;
  /** Line in the file, 0 if unknown. */
  int line = 0;
};

/** The operators' settings: sections in a tree, each with keys and values.

    A section is a path such as `/`, `/teams` or `/teams/large/kiosk`. A value
    holds in its section and in all sections below, unless one of them sets the
    key itself.
*/
class settings_tree {
 public:
  using key_values = std::map<std::string, std::string>;

  /** Applies changes in order; later ones win. */
  void Apply(const std::vector<settings_change>& changes);

  /** The value in force for a key in a section, nothing if none is set. */
  std::optional<effective_value> Find(const std::string& section,
                                      const std::string& key) const;

  /** Changes that turn this tree into another one. */
  std::vector<settings_change> DifferenceTo(const settings_tree& other) const;

  /** The tree as INI text that ParseSettings reads back. */
  std::string ToIni() const;

  /** Remembers where a value was read, for the reports of mistakes. An empty
      key stands for the section header. Apply forgets the positions of the
      values that it changes.
  */
  void SetPosition(const std::string& section,
                   const std::string& key,
                   settings_position position);

  /** Where a value was read, or a position without a line. */
  settings_position PositionOf(const std::string& section,
                               const std::string& key) const;

  /** All sections with the values set in them, in path order. */
  const std::map<std::string, key_values>& sections() const {
    return sections_;
  }

 private:
  std::map<std::string, key_values> sections_;
  std::map<std::pair<std::string, std::string>, settings_position> positions_;
};

/** Writes a tree as an object of sections with objects of values. */
void to_json(json& out, const settings_tree& tree);

/** Reads what to_json wrote. */
void from_json(const json& in, settings_tree& tree);

/** Reads INI text into a tree. Reports every mistake, not only the first. */
std::variant<settings_tree, std::vector<settings_problem>> ParseSettings(
    const std::string& text,
    const std::string& file);

/** Checks INI text: its syntax, and the settings in all lines that can be
    read. Returns every mistake in the order of the lines.
*/
std::vector<settings_problem> CheckSettings(const std::string& text,
                                            const std::string& file);

/** Checks a tree and converts it. Reports every mistake.

    @param tree     the settings
    @param version  version number that the configuration gets
*/
std::variant<configuration, std::vector<settings_problem>> BuildConfiguration(
    const settings_tree& tree,
    std::uint64_t version);

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_SETTINGS_TREE_H_
