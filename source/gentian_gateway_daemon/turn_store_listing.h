#ifndef GENTIAN_GATEWAY_DAEMON_TURN_STORE_LISTING_H_
#define GENTIAN_GATEWAY_DAEMON_TURN_STORE_LISTING_H_

#include <vector>

#include "gentian_decisions/kv_operation.h"
#include "gentian_turns/gentian_turns.h"

namespace gentian {

/** Applies a complete listing of kRegistryPrefix to a directory.

    @returns  true if the placement of turns may have changed
    @see turn_store_directory::Update */
bool ApplyTurnStores(const std::vector<kv_entry>& listing,
                     turn_store_directory& directory);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_TURN_STORE_LISTING_H_
