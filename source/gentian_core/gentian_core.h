/** Basic types shared by all modules: identifiers, times, results, errors,
    random numbers, hashing and counters.

    Dependencies: the C++ standard library, nlohmann-json, xxHash.
*/
#ifndef GENTIAN_CORE_GENTIAN_CORE_H_
#define GENTIAN_CORE_GENTIAN_CORE_H_

#include "gentian_core/base64.h"
#include "gentian_core/boot_clock.h"
#include "gentian_core/bounded_json.h"
#include "gentian_core/cbor.h"
#include "gentian_core/counter_set.h"
#include "gentian_core/error.h"
#include "gentian_core/hash.h"
#include "gentian_core/identifiers.h"
#include "gentian_core/incarnation.h"
#include "gentian_core/json.h"
#include "gentian_core/log_level.h"
#include "gentian_core/random_source.h"
#include "gentian_core/result.h"
#include "gentian_core/steady_time.h"
#include "gentian_core/strong_id.h"
#include "gentian_core/variant_codec.h"

#endif  // GENTIAN_CORE_GENTIAN_CORE_H_
