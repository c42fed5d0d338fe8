#ifndef GENTIAN_SETTINGS_SETTINGS_CHANGE_H_
#define GENTIAN_SETTINGS_SETTINGS_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Sets or removes one value in the settings tree. */
struct settings_change {
  /** Section path, for example `/teams/large/kiosk`. */
  std::string section;
  std::string key;
  /** Nothing removes the value, so that an inherited one shows again. */
  std::optional<std::string> value;
};

/** Changes that are accepted together as one version. */
struct settings_change_set {
  std::string author;
  std::string comment;
  std::vector<settings_change> changes;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(settings_change, section, key, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(settings_change_set,
                                   author,
                                   comment,
                                   changes)

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_SETTINGS_CHANGE_H_
