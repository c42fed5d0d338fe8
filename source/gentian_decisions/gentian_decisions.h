/** Deterministic state machines that make all decisions of the system.

    A node takes one event and the current time and returns commands. It opens
    no sockets, starts no threads and reads no clock, and its random numbers
    come from the caller, so that the daemon, the benchmarks and the fault
    matrix run the same code.

    Dependencies: gentian_core, gentian_settings.
*/
#ifndef GENTIAN_DECISIONS_GENTIAN_DECISIONS_H_
#define GENTIAN_DECISIONS_GENTIAN_DECISIONS_H_

#include "gentian_decisions/call_scheduler.h"
#include "gentian_decisions/call_scheduling.h"
#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/command.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/node.h"
#include "gentian_decisions/peer_message.h"

#endif  // GENTIAN_DECISIONS_GENTIAN_DECISIONS_H_
