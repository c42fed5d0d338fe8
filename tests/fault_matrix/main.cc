// Injects every fault at every step and checks all invariants.
//
// Usage: gentian_fault_matrix [--selftest] [--only TEXT] [--output FILE]
//        [--jobs N]
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cell_runner.h"
#include "gentian_core/gentian_core.h"

namespace gentian::fault_matrix {

namespace {

struct options {
  bool selftest = false;
  /** Runs only cells whose description contains the text. */
  std::string only;
  std::string output = "build/fault-matrix.jsonl";
  int jobs = 4;
};

std::string Describe(const cell& plan) {
  return FaultNames(plan) + " at " + NameOf(plan.at) +
         (plan.after ? " (after)" : " (before)");
}

std::vector<cell> AllCells() {
  std::vector<cell> cells;
  for (const step at : AllSteps()) {
    for (const fault what : AllFaults()) {
      cells.push_back({{what}, at, false, sabotage::none});
      cells.push_back({{what}, at, true, sabotage::none});
    }
  }
  const step protocols[] = {step::tool_before_dispatch,
                            step::tool_after_dispatch, step::turn_commit,
                            step::takeover, step::hand_over};
  const std::vector<fault>& faults = AllFaults();
  for (const step at : protocols) {
    for (std::size_t i = 0; i < faults.size(); ++i) {
      for (std::size_t j = i; j < faults.size(); ++j) {
        cells.push_back({{faults[i], faults[j]}, at, true, sabotage::none});
      }
    }
  }
  return cells;
}

json ViolationsAsJson(const cell_result& outcome) {
  json out = json::object();
  for (const auto& [name, found] : outcome.broken) {
    out[name] = json{{"count", found.size()}, {"first", found.front()}};
  }
  return out;
}

json AsLine(const cell& plan, const cell_result& outcome) {
  json line{{"fault", FaultNames(plan)},
            {"step", NameOf(plan.at)},
            {"position", plan.after ? "after" : "before"},
            {"verdict", outcome.Passed() ? "passed" : "failed"},
            {"step_reached", outcome.step_reached},
            {"invariants_checked", InvariantNames()},
            {"virtual_seconds", outcome.virtual_seconds}};
  if (!outcome.broken.empty()) {
    line["violations"] = ViolationsAsJson(outcome);
  }
  if (!outcome.emptiness.empty()) {
    line["reason"] = outcome.emptiness;
  }
  return line;
}

std::vector<cell> ChosenCells(const options& chosen) {
  std::vector<cell> cells;
  for (cell& plan : AllCells()) {
    if (Describe(plan).find(chosen.only) != std::string::npos) {
      cells.push_back(std::move(plan));
    }
  }
  return cells;
}

// Cells are independent and deterministic, so that their order and the number
// of threads do not matter.
std::vector<cell_result> RunCells(const std::vector<cell>& cells, int jobs) {
  std::vector<cell_result> results(cells.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(jobs));
  for (int i = 0; i < jobs; ++i) {
    threads.emplace_back([&] {
      for (std::size_t at = next++; at < cells.size(); at = next++) {
        results[at] = RunCell(cells[at]);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

int RunMatrix(const options& chosen) {
  const std::vector<cell> cells = ChosenCells(chosen);
  const std::vector<cell_result> results = RunCells(cells, chosen.jobs);
  std::ofstream output(chosen.output);
  int passed = 0;
  int failed = 0;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const cell_result& outcome = results[i];
    output << AsLine(cells[i], outcome).dump() << "\n";
    if (outcome.Passed()) {
      ++passed;
      continue;
    }
    ++failed;
    const std::string reason =
        !outcome.step_reached ? "step not reached" : outcome.emptiness;
    std::printf("FAILED: %s %s %s\n", Describe(cells[i]).c_str(),
                reason.c_str(), ViolationsAsJson(outcome).dump().c_str());
  }
  output.flush();
  if (!output) {
    std::fprintf(stderr, "%s can not be written\n", chosen.output.c_str());
    return 1;
  }
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 && passed > 0 ? 0 : 1;
}

struct broken_invariant {
  const char* name;
  sabotage how;
  step at;
};

constexpr broken_invariant kBroken[] = {
    {"I1", sabotage::reorder_calls, step::model_call},
    {"I2", sabotage::forge_history, step::model_call},
    {"I3", sabotage::generate_too_much, step::model_call},
    {"I4", sabotage::ignore_release, step::release},
    {"I5", sabotage::leak_key, step::model_call},
    {"I6", sabotage::multiply_grants, step::grant},
    {"I7", sabotage::swap_answers, step::model_call},
    {"I8", sabotage::deny_execution, step::tool_after_dispatch},
    {"I9", sabotage::execute_twice, step::tool_after_dispatch},
    {"I10", sabotage::hide_leaving, step::model_call},
    {"I11", sabotage::kill_on_stop, step::model_call},
    {"I12", sabotage::forget_version, step::config_change}};

// A break counts as found only if the unbroken run is clean and the broken
// run violates this invariant and no other one.
bool IsFound(const broken_invariant& next) {
  cell plan;
  plan.at = next.at;
  if (next.how == sabotage::deny_execution) {
    // Only a call without an answer is reported as unknown.
    plan.faults = {fault::tool_hang};
  }
  const cell_result clean = RunCell(plan);
  plan.broken = next.how;
  const cell_result broken = RunCell(plan);
  const bool exact =
      broken.broken.size() == 1 && broken.broken.count(next.name) == 1;
  const bool ok = clean.Passed() && exact;
  std::printf("%s %s: %s%s %s\n", next.name, NameOf(next.how),
              ok ? "found" : "not found",
              clean.Passed() ? "" : " (the unbroken run is not clean)",
              ViolationsAsJson(clean.Passed() ? broken : clean).dump().c_str());
  return ok;
}

int RunSelftest() {
  int found = 0;
  int missed = 0;
  for (const broken_invariant& next : kBroken) {
    const bool ok = IsFound(next);
    found += ok ? 1 : 0;
    missed += ok ? 0 : 1;
  }
  std::printf("%d found, %d not found\n", found, missed);
  return missed == 0 ? 0 : 1;
}

options ParseOptions(int count, char** values) {
  options chosen;
  for (int i = 1; i < count; ++i) {
    const std::string name = values[i];
    if (name == "--selftest") {
      chosen.selftest = true;
    } else if (name == "--only" && i + 1 < count) {
      chosen.only = values[++i];
    } else if (name == "--output" && i + 1 < count) {
      chosen.output = values[++i];
    } else if (name == "--jobs" && i + 1 < count) {
      chosen.jobs = std::max(1, std::atoi(values[++i]));
    }
  }
  return chosen;
}

}  // namespace

}  // namespace gentian::fault_matrix

int main(int count, char** values) {
  using namespace gentian::fault_matrix;
  const options chosen = ParseOptions(count, values);
  return chosen.selftest ? RunSelftest() : RunMatrix(chosen);
}
