#include "gentian_app/exit_code.h"

namespace gentian {

int ExitCodeOf(const error& reason) {
  if (reason.outcome != call_outcome::not_run) {
    return exit_unknown;
  }
  switch (reason.kind) {
    case error_kind::unauthorized:
      return exit_unauthorized;
    case error_kind::conflict:
      return exit_conflict;
    case error_kind::invalid_settings:
      return exit_mistakes;
    default:
      return exit_refused;
  }
}

const char* ExitCodeHelp() {
  return "Exit codes:\n"
         "  0  done\n"
         "  1  the settings have mistakes; all were printed\n"
         "  2  the command line is wrong\n"
         "  3  a file can not be read\n"
         "  4  the daemon can not be reached; nothing was changed\n"
         "  5  the operator's key is unknown\n"
         "  6  someone else changed the settings first; nothing was changed\n"
         "  7  no confirmation came; the change may or may not have been made\n"
         "  8  the daemon refused; nothing was changed\n"
         "  9  done, but not yet on all daemons or not durable\n";
}

}  // namespace gentian
