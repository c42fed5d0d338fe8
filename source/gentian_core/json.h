#ifndef GENTIAN_CORE_JSON_H_
#define GENTIAN_CORE_JSON_H_

#include <nlohmann/json.hpp>

namespace gentian {

/** The JSON value type used for request and answer bodies. */
using json = nlohmann::json;

}  // namespace gentian

#endif  // GENTIAN_CORE_JSON_H_
