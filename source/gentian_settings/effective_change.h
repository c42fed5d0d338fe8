#ifndef GENTIAN_SETTINGS_EFFECTIVE_CHANGE_H_
#define GENTIAN_SETTINGS_EFFECTIVE_CHANGE_H_

#include <string>
#include <vector>

#include "gentian_settings/settings_tree.h"

namespace gentian {

/** The origin of values that no section sets. */
constexpr const char* kDefaultOrigin = "default";

/** What a change alters for one section, inherited values included. Nothing
    stands for a section that does not exist or a key without a value.
*/
struct effective_change {
  std::string section;
  std::string key;
  std::optional<effective_value> before;
  std::optional<effective_value> after;
};

/** The value in force for a key, from the section, one above it, or the
    default. Nothing if the key is unknown there or has no value.
*/
std::optional<effective_value> EffectiveValue(const settings_tree& tree,
                                              const std::string& section,
                                              const std::string& key);

/** All values that differ between two trees, in the order of sections. */
std::vector<effective_change> EffectiveChanges(const settings_tree& before,
                                               const settings_tree& after);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(effective_value, value, origin)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(effective_change,
                                   section,
                                   key,
                                   before,
                                   after)

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_EFFECTIVE_CHANGE_H_
