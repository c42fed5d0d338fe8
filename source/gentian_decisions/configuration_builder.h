#ifndef GENTIAN_DECISIONS_CONFIGURATION_BUILDER_H_
#define GENTIAN_DECISIONS_CONFIGURATION_BUILDER_H_

#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** Checks a settings tree and converts it to the configuration of a version.
    Daemons pass BuildConfiguration; tests pass their own.
*/
using configuration_builder =
    std::function<std::variant<configuration, std::vector<settings_problem>>(
        const settings_tree& tree,
        std::uint64_t version)>;

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CONFIGURATION_BUILDER_H_
