#ifndef TESTS_FAULT_MATRIX_CELL_H_
#define TESTS_FAULT_MATRIX_CELL_H_

#include <optional>
#include <string>
#include <vector>

namespace gentian::fault_matrix {

/** What can go wrong. The order is that of AllFaults. */
enum class fault {
  process_death,
  pause_past_lease,
  tool_hang,
  endless_loop,
  key_withdrawn_while_connected,
  service_down,
  service_slow,
  answer_lost_after_write,
  racing_operators,
  silent_connection,
  late_reordered_duplicate,
  partition,
  leaving_target,
  planned_stop,
};

/** Where in a protocol a fault strikes. The order is that of AllSteps. */
enum class step {
  open_session,
  model_call,
  tool_before_dispatch,
  tool_after_dispatch,
  turn_commit,
  takeover,
  hand_over,
  grant,
  key_change,
  config_change,
  release,
  drain,
};

/** Deliberate breaks of one invariant each, for the self-test. */
enum class sabotage {
  none,
  reorder_calls,
  forge_history,
  generate_too_much,
  ignore_release,
  leak_key,
  multiply_grants,
  swap_answers,
  deny_execution,
  execute_twice,
  hide_leaving,
  kill_on_stop,
  forget_version,
};

/** One run of the matrix. */
struct cell {
  std::vector<fault> faults;
  step at = step::open_session;
  /** True if the fault strikes after the step's command was carried out. */
  bool after = false;
  sabotage broken = sabotage::none;
};

const std::vector<fault>& AllFaults();
const std::vector<step>& AllSteps();
const char* NameOf(fault value);
const char* NameOf(step value);
const char* NameOf(sabotage value);

/** Names of a cell's faults, joined by `+`; `none` without a fault. */
std::string FaultNames(const cell& value);

}  // namespace gentian::fault_matrix

#endif  // TESTS_FAULT_MATRIX_CELL_H_
