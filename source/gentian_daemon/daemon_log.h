#ifndef GENTIAN_DAEMON_DAEMON_LOG_H_
#define GENTIAN_DAEMON_DAEMON_LOG_H_

#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_decisions/command.h"

namespace gentian {

/** Where log lines go. */
enum class log_output { standard_error, standard_output };

/** Starts logging: one JSON object a line.

    @param level  debug, info, warning or error
    @param host   name that every line carries
*/
result<success> StartLog(const std::string& level,
                         const std::string& host,
                         log_output output = log_output::standard_error);

/** Writes one line. Fields that can hold a key or a prompt are left out. */
void Log(const write_log& line);

/** Writes one line. */
void Log(write_log::level severity,
         const std::string& message,
         const json& fields = json::object());

}  // namespace gentian

#endif  // GENTIAN_DAEMON_DAEMON_LOG_H_
