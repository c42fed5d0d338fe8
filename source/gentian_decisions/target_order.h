#ifndef GENTIAN_DECISIONS_TARGET_ORDER_H_
#define GENTIAN_DECISIONS_TARGET_ORDER_H_

#include <cstdint>
#include <string>
#include <variant>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Identifies an order (a control request to a target) within an
    incarnation. */
using order_id = std::uint64_t;

/** Releases the cache that an engine holds for a session. */
struct release_cache {
  session_id session;
};

/** Lists all cache holdings of an engine. */
struct list_cache {};

/** Copies a session's cache from another engine to the receiving one. */
struct import_cache {
  session_id session;
  target_id source;
  std::string source_address;
};

/** Loads a model or an adapter from the weight store. */
struct load_model {
  std::string model;
  std::string adapter;
};

/** Changes the role of an engine, for example to prefill or decode. */
struct change_role {
  std::string role;
};

/** Content of an order. */
using target_order_body = std::
    variant<release_cache, list_cache, import_cache, load_model, change_role>;

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_TARGET_ORDER_H_
