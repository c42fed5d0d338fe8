#ifndef GENTIAN_DAEMON_DAEMON_LOG_H_
#define GENTIAN_DAEMON_DAEMON_LOG_H_

#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_decisions/command.h"

namespace gentian {

/** Starts logging: one JSON object a line on standard error.

    @param level  debug, info, warning or error
    @param host   name that every line carries
*/
result<success> StartLog(const std::string& level, const std::string& host);

/** Writes one line. Fields that can hold a key or a prompt are left out. */
void Log(const write_log& line);

/** Writes one line. */
void Log(write_log::level severity,
         const std::string& message,
         const json& fields = json::object());

}  // namespace gentian

#endif  // GENTIAN_DAEMON_DAEMON_LOG_H_
