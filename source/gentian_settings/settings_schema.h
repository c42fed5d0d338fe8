#ifndef GENTIAN_SETTINGS_SETTINGS_SCHEMA_H_
#define GENTIAN_SETTINGS_SETTINGS_SCHEMA_H_

#include <functional>
#include <string>
#include <vector>

#include "gentian_settings/configuration.h"
#include "gentian_settings/settings_value.h"

namespace gentian {

/** Whether a key must be set. */
enum class presence {
  /** Without it the default holds. */
  defaulted,
  /** Without it the setting is empty. */
  optional,
  /** It is a mistake if neither the section nor one above sets it. */
  required,
};

/** A key of the operators' settings: the single source for checks and for the
    reference in docs/operators.md.
*/
struct settings_key {
  /** Name; `key.*` stands for all names that begin with `key.`. */
  std::string name;
  value_rule rule;
  presence need = presence::defaulted;
  /** Value that holds if the key is set nowhere. */
  std::string default_text;
  /** False if the key must be set in the section itself. */
  bool inherits = true;
  std::string description;

  /** True if this entry describes a key of that name. */
  bool Matches(const std::string& key) const;
};

/** A key together with the member that it sets.

    @tparam Struct  type that a section is converted to
*/
template <typename Struct>
struct settings_field {
  settings_key key;
  /** Stores a value that ParseValue returned for the key's rule. */
  std::function<void(Struct&, const parsed_value&)> assign;
};

/** A kind of section and the keys that it takes. */
struct section_kind {
  /** Name, for example "pool". */
  std::string name;
  /** Path with placeholders, for example `/pools/<pool>`. */
  std::string pattern;
  std::vector<settings_key> keys;
};

/** The fields of each kind of section. */
const std::vector<settings_field<fleet_settings>>& FleetFields();
const std::vector<settings_field<daemon_settings>>& DaemonFields();
const std::vector<settings_field<team_settings>>& TeamFields();
const std::vector<settings_field<program_settings>>& ProgramFields();
const std::vector<settings_field<pool_settings>>& PoolFields();
const std::vector<settings_field<target_settings>>& TargetFields();
const std::vector<settings_field<tool_settings>>& ToolFields();
const std::vector<settings_field<route_settings>>& RouteFields();

/** All kinds of sections. */
const std::vector<section_kind>& SectionKinds();

/** What a section path stands for. */
struct section_role {
  /** False if no section may have this path. */
  bool known = false;
  /** The kind that the section itself is; nothing if it only holds values
      for the sections below.
  */
  const section_kind* own = nullptr;
  /** Kinds of sections that may be below and inherit its values. */
  std::vector<const section_kind*> below;
};

/** Finds the role of a section path. */
section_role RoleOf(const std::string& section);

/** The description of a key in a section, or nothing if it has no such key. */
const settings_key* FindKey(const section_role& role, const std::string& key);

/** Names of all keys that a section may set. */
std::vector<std::string> KeyNames(const section_role& role);

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_SETTINGS_SCHEMA_H_
