/** The outside systems, each as one small interface with one network adapter
    and one in-memory fake: key-value service, host list, engines, tool
    services, weight store.

    Dependencies: gentian_core, gentian_decisions, gentian_net.
*/
#ifndef GENTIAN_PLATFORM_GENTIAN_PLATFORM_H_
#define GENTIAN_PLATFORM_GENTIAN_PLATFORM_H_

#include "gentian_platform/engine_fake.h"
#include "gentian_platform/etcd_fake_server.h"
#include "gentian_platform/etcd_key_value_store.h"
#include "gentian_platform/host_list.h"
#include "gentian_platform/host_list_fake.h"
#include "gentian_platform/http_host_list.h"
#include "gentian_platform/http_target_gateway.h"
#include "gentian_platform/key_value_fake.h"
#include "gentian_platform/key_value_store.h"
#include "gentian_platform/target_gateway.h"
#include "gentian_platform/tool_fake.h"

#endif  // GENTIAN_PLATFORM_GENTIAN_PLATFORM_H_
