#ifndef GENTIAN_APP_SETTINGS_REFERENCE_H_
#define GENTIAN_APP_SETTINGS_REFERENCE_H_

#include <string>

namespace gentian {

/** The reference of all sections and keys as Markdown, from the same tables
    that the checks use. docs/operators.md contains it.
*/
std::string SettingsReference();

}  // namespace gentian

#endif  // GENTIAN_APP_SETTINGS_REFERENCE_H_
