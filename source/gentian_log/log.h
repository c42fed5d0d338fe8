#ifndef GENTIAN_LOG_LOG_H_
#define GENTIAN_LOG_LOG_H_

#include <cstdint>
#include <functional>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Where log lines go. */
enum class log_output { standard_error, standard_output };

/** Lines that were not written since StartLog. */
struct log_losses {
  /** Routine lines left out by sampling. */
  std::uint64_t sampled_out = 0;
  /** Lines dropped because the reader was too slow or gone. */
  std::uint64_t dropped = 0;
};

/** Starts logging: one JSON object a line. Lines are written on a thread of
    their own; a reader that stops reading does not hold up the process.

    @param level  debug, info, warning or error
    @param host   name that every line carries
*/
result<success> StartLog(const std::string& level,
                         const std::string& host,
                         log_output output = log_output::standard_error);

/** Writes the last lines, within a limit, and stops logging. */
void StopLog();

/** Writes one line. Fields that can hold a key or a prompt are left out. */
void Log(log_level severity,
         const std::string& message,
         const json& fields = json::object());

/** Writes one line of level info about a request that went well. Such lines are
    sampled under load, and dropped first if the reader is slow.

    @param subject  the program or request; all lines of one subject are kept or
                    left out together
    @param fields   runs only if the line is written
    @see line_sampler
*/
void LogRoutine(const std::string& subject,
                const std::string& message,
                const std::function<json()>& fields);

/** What was not written. */
log_losses GetLogLosses();

}  // namespace gentian

#endif  // GENTIAN_LOG_LOG_H_
