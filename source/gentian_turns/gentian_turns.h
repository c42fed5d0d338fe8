/** Decisions about turns that the system keeps: which turn stores hold a turn,
    when it is durable, how its chain is read and when a store has been emptied.
    Decisions about the origins of streams, which the turn stores hold too, and
    the records of what daemons spend of their claims on token budgets.
    State in, decisions out; no sockets, threads, clocks or files.

    Dependencies: gentian_core.
*/
#ifndef GENTIAN_TURNS_GENTIAN_TURNS_H_
#define GENTIAN_TURNS_GENTIAN_TURNS_H_

#include "gentian_turns/chain_lookup.h"
#include "gentian_turns/conversation_homes.h"
#include "gentian_turns/drain_progress.h"
#include "gentian_turns/event_data.h"
#include "gentian_turns/kept_turn.h"
#include "gentian_turns/origin_lookup.h"
#include "gentian_turns/origin_write.h"
#include "gentian_turns/spending_record.h"
#include "gentian_turns/stream_origin.h"
#include "gentian_turns/turn_store_directory.h"
#include "gentian_turns/turn_store_record.h"
#include "gentian_turns/turn_summary.h"
#include "gentian_turns/turn_write.h"

#endif  // GENTIAN_TURNS_GENTIAN_TURNS_H_
