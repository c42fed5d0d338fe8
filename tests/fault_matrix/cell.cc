#include "cell.h"

#include <cstddef>

namespace gentian::fault_matrix {

namespace {

constexpr const char* kFaultNames[] = {"process_death",
                                       "pause_past_lease",
                                       "tool_hang",
                                       "endless_loop",
                                       "key_withdrawn_while_connected",
                                       "service_down",
                                       "service_slow",
                                       "answer_lost_after_write",
                                       "racing_operators",
                                       "silent_connection",
                                       "late_reordered_duplicate",
                                       "partition",
                                       "leaving_target",
                                       "planned_stop"};
constexpr const char* kStepNames[] = {
    "open_session",        "model_call",  "tool_before_dispatch",
    "tool_after_dispatch", "turn_commit", "takeover",
    "hand_over",           "grant",       "key_change",
    "config_change",       "release",     "drain"};
constexpr const char* kSabotageNames[] = {
    "none",           "reorder_calls", "forge_history",   "generate_too_much",
    "ignore_release", "leak_key",      "multiply_grants", "swap_answers",
    "deny_execution", "execute_twice", "hide_leaving",    "kill_on_stop",
    "forget_version"};

template <typename Value, std::size_t Size>
std::vector<Value> AllOf(const char* const (&)[Size]) {
  std::vector<Value> values;
  for (std::size_t i = 0; i < Size; ++i) {
    values.push_back(static_cast<Value>(i));
  }
  return values;
}

}  // namespace

const std::vector<fault>& AllFaults() {
  static const std::vector<fault> all = AllOf<fault>(kFaultNames);
  return all;
}

const std::vector<step>& AllSteps() {
  static const std::vector<step> all = AllOf<step>(kStepNames);
  return all;
}

const char* NameOf(fault value) {
  return kFaultNames[static_cast<std::size_t>(value)];
}

const char* NameOf(step value) {
  return kStepNames[static_cast<std::size_t>(value)];
}

const char* NameOf(sabotage value) {
  return kSabotageNames[static_cast<std::size_t>(value)];
}

std::string FaultNames(const cell& value) {
  std::string names;
  for (const fault next : value.faults) {
    names += names.empty() ? "" : "+";
    names += NameOf(next);
  }
  return names.empty() ? "none" : names;
}

}  // namespace gentian::fault_matrix
