#ifndef GENTIAN_DAEMON_DAEMON_FILE_H_
#define GENTIAN_DAEMON_DAEMON_FILE_H_

#include <string>
#include <variant>
#include <vector>

#include "gentian_daemon/daemon_options.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** A section of the daemon's file and its keys. */
struct daemon_file_section {
  std::string name;
  std::vector<settings_field<daemon_options>> fields;
};

/** All sections of the file that `gentianrun serve` reads: the single source
    for its checks and its reference in docs/operators.md.
*/
const std::vector<daemon_file_section>& DaemonFileSections();

/** Reads and checks a daemon's file. Reports every mistake. */
std::variant<daemon_options, std::vector<settings_problem>> ParseDaemonFile(
    const std::string& text,
    const std::string& file);

/** True if the text is a daemon's file and not the operators' settings: their
    section names begin with `/`.
*/
bool IsDaemonFile(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_DAEMON_DAEMON_FILE_H_
