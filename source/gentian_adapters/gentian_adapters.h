/** The outside systems, each as one small interface with one network adapter
    and one in-memory fake: key-value service, host list, engines, tool
    services, weight store.

    Dependencies: gentian_core, gentian_decisions, gentian_net.
*/
#ifndef GENTIAN_ADAPTERS_GENTIAN_ADAPTERS_H_
#define GENTIAN_ADAPTERS_GENTIAN_ADAPTERS_H_

#include "gentian_adapters/engine_fake.h"
#include "gentian_adapters/etcd_fake_server.h"
#include "gentian_adapters/etcd_key_value_store.h"
#include "gentian_adapters/host_list.h"
#include "gentian_adapters/host_list_fake.h"
#include "gentian_adapters/http_host_list.h"
#include "gentian_adapters/http_target_gateway.h"
#include "gentian_adapters/key_value_fake.h"
#include "gentian_adapters/key_value_store.h"
#include "gentian_adapters/target_gateway.h"
#include "gentian_adapters/tool_fake.h"

#endif  // GENTIAN_ADAPTERS_GENTIAN_ADAPTERS_H_
