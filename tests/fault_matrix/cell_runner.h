#ifndef TESTS_FAULT_MATRIX_CELL_RUNNER_H_
#define TESTS_FAULT_MATRIX_CELL_RUNNER_H_

#include <string>

#include "cell.h"
#include "invariants.h"

namespace gentian::fault_matrix {

/** Outcome of one cell. */
struct cell_result {
  bool step_reached = false;
  violations broken;
  /** Checks that had nothing to look at, as a reason why the cell failed. */
  std::string emptiness;
  double virtual_seconds = 0.0;

  bool Passed() const {
    return step_reached && broken.empty() && emptiness.empty();
  }
};

/** Runs one cell to quiescence and checks all invariants. */
cell_result RunCell(const cell& plan);

}  // namespace gentian::fault_matrix

#endif  // TESTS_FAULT_MATRIX_CELL_RUNNER_H_
