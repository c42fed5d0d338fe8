#ifndef GENTIAN_DECISIONS_INITIAL_SETTINGS_H_
#define GENTIAN_DECISIONS_INITIAL_SETTINGS_H_

#include <utility>

#include "gentian_decisions/configuration_builder.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** The operators' settings that a daemon starts with, before it has read the
    fleet's configuration log.
*/
struct initial_settings {
  /** Settings with a tree that a later change set can be applied to. */
  initial_settings(configuration start,
                   settings_tree source,
                   configuration_builder build)
      : settings(std::move(start)),
        tree(std::move(source)),
        builder(std::move(build)) {}

  /** Settings whose tree is not known: the first change set is applied to an
      empty tree.
  */
  explicit initial_settings(configuration start)
      : initial_settings(std::move(start),
                         settings_tree(),
                         BuildConfiguration) {}

  configuration settings;
  settings_tree tree;
  configuration_builder builder;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_INITIAL_SETTINGS_H_
