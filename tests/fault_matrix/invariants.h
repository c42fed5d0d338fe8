#ifndef TESTS_FAULT_MATRIX_INVARIANTS_H_
#define TESTS_FAULT_MATRIX_INVARIANTS_H_

#include <map>
#include <string>
#include <vector>

#include "world_log.h"

namespace gentian::fault_matrix {

/** Violations by invariant, `I1` to `I12`. */
using violations = std::map<std::string, std::vector<std::string>>;

/** Names of all invariants in order. */
const std::vector<std::string>& InvariantNames();

/** Checks all invariants against what the outside has observed. */
violations CheckAll(const world_log& log);

}  // namespace gentian::fault_matrix

#endif  // TESTS_FAULT_MATRIX_INVARIANTS_H_
