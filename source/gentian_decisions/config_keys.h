#ifndef GENTIAN_DECISIONS_CONFIG_KEYS_H_
#define GENTIAN_DECISIONS_CONFIG_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gentian_decisions/cluster_messages.h"

namespace gentian {

/** Prefix of the accepted change sets, one key a version. */
constexpr const char* kChangePrefix = "/config/change/";
/** Prefix of the snapshots of the settings tree. */
constexpr const char* kSnapshotPrefix = "/config/snapshot/";

/** Key of a version's change set, with 12 digits. */
std::string ChangeKey(std::uint64_t version);

/** Key of a version's snapshot, with 12 digits. */
std::string SnapshotKey(std::uint64_t version);

/** Prefix of the keys of the thousand versions around a version. */
std::string ChangeBlockPrefix(std::uint64_t version);

/** Reads a stored change set; nothing if it is malformed. */
std::optional<config_record> ParseChange(const std::string& key,
                                         const std::string& value);

/** Reads a stored snapshot; nothing if it is malformed. */
std::optional<config_snapshot> ParseSnapshot(const std::string& value);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CONFIG_KEYS_H_
