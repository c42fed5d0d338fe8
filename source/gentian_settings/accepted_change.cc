#include "gentian_settings/accepted_change.h"

#include <map>
#include <string>

namespace gentian {

void to_json(json& out, const accepted_change& change) {
  out = change.changes;
  out["version"] = change.version;
}

void from_json(const json& in, accepted_change& change) {
  change.changes = in.get<settings_change_set>();
  change.version = in.at("version").get<std::uint64_t>();
}

result<settings_tree> TreeOfVersion(const std::vector<accepted_change>& history,
                                    std::uint64_t version) {
  std::map<std::uint64_t, const settings_change_set*> ordered;
  for (const accepted_change& change : history) {
    ordered.emplace(change.version, &change.changes);
  }
  settings_tree tree;
  std::uint64_t applied = 0;
  for (const auto& [number, changes] : ordered) {
    // A gap ends the replay: a tree without one of the changes never existed.
    if (number > version || number != applied + 1) {
      break;
    }
    tree.Apply(changes->changes);
    applied = number;
  }
  if (applied != version) {
    return error{error_kind::unavailable,
                 "the history lacks version " + std::to_string(applied + 1),
                 "choose a version that `gentianrun admin history` lists "
                 "without a gap, or apply a file"};
  }
  return tree;
}

result<std::vector<settings_change>> ChangesBackTo(
    const settings_tree& current,
    const std::vector<accepted_change>& history,
    std::uint64_t version) {
  const result<settings_tree> wanted = TreeOfVersion(history, version);
  if (Failed(wanted)) {
    return ErrorOf(wanted);
  }
  return current.DifferenceTo(ValueOf(wanted));
}

}  // namespace gentian
