#ifndef GENTIAN_TURNS_TURN_STORE_RECORD_H_
#define GENTIAN_TURNS_TURN_STORE_RECORD_H_

#include <optional>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** The record under which a turn store registers. */
struct turn_store_record {
  std::string host;
  std::string failure_domain;
  /** Where gateways and other stores connect, `ip:port`. */
  std::string address;
  /** Unique for each start of the process. */
  std::string incarnation;
  /** The store is being emptied and takes no more turns. */
  bool draining = false;
};

/** Key prefix of the records of running stores, which are under a lease. */
constexpr const char* kRunningStoresPrefix = "gentianrun/members-stores/";
/** Key prefix of the records of disks that may hold turns. They outlast their
    stores' processes. */
constexpr const char* kDisksPrefix = "gentianrun/members-disks/";

std::string RunningStoreKey(const std::string& host);
std::string DiskKey(const std::string& host);

/** The stored form of a record. */
std::string EncodeTurnStore(const turn_store_record& record);

/** Parses the stored form; nothing if the text is malformed. */
std::optional<turn_store_record> DecodeTurnStore(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_TURNS_TURN_STORE_RECORD_H_
