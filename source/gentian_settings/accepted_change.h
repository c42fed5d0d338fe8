#ifndef GENTIAN_SETTINGS_ACCEPTED_CHANGE_H_
#define GENTIAN_SETTINGS_ACCEPTED_CHANGE_H_

#include <cstdint>
#include <vector>

#include "gentian_settings/settings_tree.h"

namespace gentian {

/** A change set that became a version of the configuration. */
struct accepted_change {
  std::uint64_t version = 0;
  settings_change_set changes;
};

/** Writes the version and the members of the change set in one object. */
void to_json(json& out, const accepted_change& change);

/** Reads what to_json wrote. */
void from_json(const json& in, accepted_change& change);

/** Replays accepted changes up to a version.

    @param history  changes in any order
    @param version  last version to apply; 0 gives the empty tree
    @returns        the tree of that version, or error_kind::unavailable if a
                    change from 1 to that version is missing
*/
result<settings_tree> TreeOfVersion(const std::vector<accepted_change>& history,
                                    std::uint64_t version);

/** Changes that lead from the current tree back to that of a version. */
result<std::vector<settings_change>> ChangesBackTo(
    const settings_tree& current,
    const std::vector<accepted_change>& history,
    std::uint64_t version);

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_ACCEPTED_CHANGE_H_
