#ifndef GENTIAN_LOG_LOG_H_
#define GENTIAN_LOG_LOG_H_

#include <cstdint>
#include <functional>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

enum class log_output { standard_error, standard_output };

/** Numbers of log lines that were not written. */
struct log_losses {
  /** Routine lines discarded by sampling. */
  std::uint64_t sampled_out = 0;
  /** Lines dropped because the reader was too slow or had closed. */
  std::uint64_t dropped = 0;
};

/** Starts logging, with one JSON object per line. Lines are written on a
    background thread, so a reader that stops reading does not block callers.

    @param level  debug, info, warning or error
    @param host   value of the field `host` of every line
    @returns  invalid_settings if the level is unknown
*/
result<success> StartLog(const std::string& level,
                         const std::string& host,
                         log_output output = log_output::standard_error);

/** Stops logging. Waits up to 200 ms for the queued lines to be written. */
void StopLog();

/** Logs one line. Fields that can hold a key or a prompt, such as `api_key` and
    `messages`, are removed. */
void Log(log_level severity,
         const std::string& message,
         const json& fields = json::object());

/** Logs one line of level info about a successful request. Such lines are
    sampled under load, and are the first to be dropped if the reader is slow.

    @param subject  id of the program or request; sampling keeps or discards all
                    lines of a subject alike
    @param fields   called only if the line is kept
    @see line_sampler
*/
void LogRoutine(const std::string& subject,
                const std::string& message,
                const std::function<json()>& fields);

/** Returns the numbers of lines lost so far. */
log_losses GetLogLosses();

}  // namespace gentian

#endif  // GENTIAN_LOG_LOG_H_
