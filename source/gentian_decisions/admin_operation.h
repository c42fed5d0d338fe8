#ifndef GENTIAN_DECISIONS_ADMIN_OPERATION_H_
#define GENTIAN_DECISIONS_ADMIN_OPERATION_H_

#include <cstdint>
#include <string>
#include <variant>

#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** Reads members, leases, queues, teams, sessions and counters. */
struct read_status {};

/** Reads the settings tree in force and its version. */
struct read_settings {};

/** Reads accepted changes, newest first. */
struct read_changes {
  /** Changes with a lower version are left out. */
  std::uint64_t from_version = 0;
};

/** Applies changes on top of a version. Fails with error_kind::conflict if
    the configuration has moved on.
*/
struct apply_changes {
  std::uint64_t expected_version = 0;
  settings_change_set changes;
};

/** Withdraws a key at once, without waiting for a configuration version. */
struct withdraw_key {
  std::string key_hash;
  std::string author;
};

/** Asks on how many daemons a version is in force. */
struct read_rollout {
  std::uint64_t version = 0;
};

/** What an operator asks of a daemon. */
using admin_operation = std::variant<read_status,
                                     read_settings,
                                     read_changes,
                                     apply_changes,
                                     withdraw_key,
                                     read_rollout>;

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_ADMIN_OPERATION_H_
