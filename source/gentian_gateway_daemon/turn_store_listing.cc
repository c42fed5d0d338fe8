#include "gentian_gateway_daemon/turn_store_listing.h"

#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

bool ApplyTurnStores(const std::vector<kv_entry>& listing,
                     turn_store_directory& directory) {
  turn_store_directory::records running;
  turn_store_directory::records disks;
  for (const kv_entry& entry : listing) {
    const bool is_running = entry.key.rfind(kRunningStoresPrefix, 0) == 0;
    if (!is_running && entry.key.rfind(kDisksPrefix, 0) != 0) {
      continue;
    }
    auto record = DecodeTurnStore(entry.value);
    if (!record) {
      Log(log_level::warning, "cannot decode the record of a turn store",
          {{"key", entry.key}});
      continue;
    }
    std::string host = record->host;
    (is_running ? running : disks)
        .insert_or_assign(std::move(host), std::move(*record));
  }
  return directory.Update(std::move(running), std::move(disks));
}

}  // namespace gentian
