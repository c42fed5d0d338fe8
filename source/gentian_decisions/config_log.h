#ifndef GENTIAN_DECISIONS_CONFIG_LOG_H_
#define GENTIAN_DECISIONS_CONFIG_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gentian_decisions/cluster_messages.h"
#include "gentian_decisions/configuration_builder.h"
#include "gentian_decisions/node_context.h"

namespace gentian {

/** The settings tree, the change sets that led to it and those that came
    before their predecessors. The version never goes back.
*/
class config_log {
 public:
  /** Starts from a known tree.

      @param initial  configuration built from the tree
      @param tree     the tree
      @param builder  builds the configurations of later trees
  */
  config_log(configuration initial,
             settings_tree tree,
             configuration_builder builder);

  /** Version of the tree: the highest whose change sets are all known. */
  std::uint64_t version() const { return version_; }

  /** The newest tree. */
  const settings_tree& tree() const { return tree_; }

  /** The configuration in force. */
  const configuration& in_force() const { return in_force_; }

  /** True if change sets are known whose predecessors are missing. */
  bool HasGap() const { return !pending_.empty(); }

  /** Adds an accepted change set, in any order and any number of times. */
  void Add(const config_record& record);

  /** Replaces the tree if the snapshot is newer.

      @param same_version  true to accept a snapshot of the same version
  */
  void Use(const config_snapshot& snapshot, bool same_version);

  /** Puts what was added in force.

      @returns true if the configuration has changed
  */
  bool PutInForce(node_context& context);

  /** Builds what the tree would be with more changes, without keeping it. */
  std::variant<configuration, std::vector<settings_problem>> Check(
      const settings_change_set& changes) const;

  /** Change sets after a version, oldest first; nothing if some of them are
      not kept any more.
  */
  std::optional<std::vector<config_record>> After(std::uint64_t version) const;

  /** Kept change sets from a version on, newest first. */
  std::vector<config_record> NewestFirst(std::uint64_t from_version) const;

  /** The newest tree as a snapshot. */
  config_snapshot Snapshot() const;

 private:
  configuration in_force_;
  settings_tree tree_;
  configuration_builder builder_;
  std::uint64_t version_ = 0;
  bool changed_ = false;
  std::map<std::uint64_t, settings_change_set> kept_;
  std::map<std::uint64_t, settings_change_set> pending_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CONFIG_LOG_H_
