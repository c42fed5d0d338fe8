/** Decision logic of the gateway daemon, which forwards requests of callers to
    targets: routes and keys, allowances, token budgets, choice of a target,
    membership. State in, decisions out; no sockets, threads or clocks.

    Dependencies: gentian_core, gentian_decisions (the key-value interface).
*/
#ifndef GENTIAN_GATEWAY_GENTIAN_GATEWAY_H_
#define GENTIAN_GATEWAY_GENTIAN_GATEWAY_H_

#include "gentian_gateway/allowance_holders.h"
#include "gentian_gateway/allowance_meter.h"
#include "gentian_gateway/blocked_requests.h"
#include "gentian_gateway/budget_ledger.h"
#include "gentian_gateway/cold_limit.h"
#include "gentian_gateway/cold_period.h"
#include "gentian_gateway/configuration_holder.h"
#include "gentian_gateway/crash_history.h"
#include "gentian_gateway/domain_charges.h"
#include "gentian_gateway/domain_loads.h"
#include "gentian_gateway/domain_router.h"
#include "gentian_gateway/domain_routers.h"
#include "gentian_gateway/evacuation_list.h"
#include "gentian_gateway/event_splitter.h"
#include "gentian_gateway/expected_completion.h"
#include "gentian_gateway/fraction_of.h"
#include "gentian_gateway/gateway_configuration.h"
#include "gentian_gateway/gateway_directory.h"
#include "gentian_gateway/gateway_members.h"
#include "gentian_gateway/listing_content.h"
#include "gentian_gateway/member_record.h"
#include "gentian_gateway/owner_of.h"
#include "gentian_gateway/path_monitor.h"
#include "gentian_gateway/placement_policy.h"
#include "gentian_gateway/planned_stop.h"
#include "gentian_gateway/recent_answers.h"
#include "gentian_gateway/relay_tree.h"
#include "gentian_gateway/request_fingerprint.h"
#include "gentian_gateway/shared_listing.h"
#include "gentian_gateway/target_limit.h"
#include "gentian_gateway/target_pacer.h"
#include "gentian_gateway/target_performance.h"
#include "gentian_gateway/target_selector.h"
#include "gentian_gateway/target_table.h"
#include "gentian_gateway/turn_scheduler.h"
#include "gentian_gateway/unclaimed_start_policy.h"

#endif  // GENTIAN_GATEWAY_GENTIAN_GATEWAY_H_
