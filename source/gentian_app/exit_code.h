#ifndef GENTIAN_APP_EXIT_CODE_H_
#define GENTIAN_APP_EXIT_CODE_H_

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Exit codes of `check` and `admin`. Scripts rely on the numbers. */
enum exit_code {
  exit_ok = 0,
  /** Settings have mistakes; all were printed. */
  exit_mistakes = 1,
  /** The command line is wrong. */
  exit_usage = 2,
  /** A file can not be read. */
  exit_file = 3,
  /** The daemon can not be reached; nothing was changed. */
  exit_unreachable = 4,
  /** The operator's key is unknown. */
  exit_unauthorized = 5,
  /** Someone else changed the settings first; nothing was changed. */
  exit_conflict = 6,
  /** No confirmation came; the change may or may not have been made. */
  exit_unknown = 7,
  /** The daemon refused for another reason; nothing was changed. */
  exit_refused = 8,
  /** Done, but not yet on all daemons or not durable. */
  exit_incomplete = 9,
};

/** The exit code that tells a script about an error. */
int ExitCodeOf(const error& reason);

/** The list of exit codes for --help. */
const char* ExitCodeHelp();

}  // namespace gentian

#endif  // GENTIAN_APP_EXIT_CODE_H_
