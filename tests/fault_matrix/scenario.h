#ifndef TESTS_FAULT_MATRIX_SCENARIO_H_
#define TESTS_FAULT_MATRIX_SCENARIO_H_

#include <memory>
#include <string>
#include <vector>

#include "gentian_decisions/gentian_decisions.h"

namespace gentian::fault_matrix {

/** Fleet, targets and teams that every cell of the matrix uses: 6 daemons in
    three failure domains, 3 engines, 2 tool services, 4 teams.
*/
struct scenario {
  settings_tree tree;
  configuration settings;
  std::vector<host_id> hosts;
};

/** The scenario, built from INI text as operators write it. */
const scenario& Scenario();

/** Key of a team. */
std::string KeyOf(const std::string& team);

/** The daemon's own settings. */
node_identity IdentityOf(const host_id& host);

/** Starts the node of a daemon. */
std::unique_ptr<node> MakeNode(const host_id& host, random_source& random);

/** Path of the tool whose calls may not be repeated. */
constexpr const char* kBookPath = "/book";
/** Path of the tool whose calls may be repeated. */
constexpr const char* kLookupPath = "/lookup";
/** Tokens that a looping session may use, and its calls. */
constexpr std::uint64_t kLoopCalls = 6;
/** Limits of the team that sends more than its rate. */
constexpr double kNoisyRate = 10.0;
constexpr double kNoisyBurst = 5.0;

}  // namespace gentian::fault_matrix

#endif  // TESTS_FAULT_MATRIX_SCENARIO_H_
