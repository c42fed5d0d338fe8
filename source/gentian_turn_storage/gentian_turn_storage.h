/** Durable storage of turns on a host's disk, in SQLite.

    Dependencies: gentian_turns.
*/
#ifndef GENTIAN_TURN_STORAGE_GENTIAN_TURN_STORAGE_H_
#define GENTIAN_TURN_STORAGE_GENTIAN_TURN_STORAGE_H_

#include "gentian_turn_storage/turn_database.h"
#include "gentian_turn_storage/turn_storage.h"

#endif  // GENTIAN_TURN_STORAGE_GENTIAN_TURN_STORAGE_H_
