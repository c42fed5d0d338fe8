/** Operators' configuration: its typed form, the INI reader, the settings tree
    with inheritance, and the checks made before a version is accepted.

    Dependencies: gentian_core, Boost.Asio (addresses only).
*/
#ifndef GENTIAN_SETTINGS_GENTIAN_SETTINGS_H_
#define GENTIAN_SETTINGS_GENTIAN_SETTINGS_H_

#include "gentian_settings/accepted_change.h"
#include "gentian_settings/budget_limits.h"
#include "gentian_settings/budget_request.h"
#include "gentian_settings/configuration.h"
#include "gentian_settings/effective_change.h"
#include "gentian_settings/ini_reader.h"
#include "gentian_settings/section_path.h"
#include "gentian_settings/settings_change.h"
#include "gentian_settings/settings_problem.h"
#include "gentian_settings/settings_schema.h"
#include "gentian_settings/settings_tree.h"
#include "gentian_settings/settings_value.h"

#endif  // GENTIAN_SETTINGS_GENTIAN_SETTINGS_H_
