#ifndef GENTIAN_CORE_LOG_LEVEL_H_
#define GENTIAN_CORE_LOG_LEVEL_H_

namespace gentian {

/** Severity of a log line. */
enum class log_level { debug, info, warning, error };

}  // namespace gentian

#endif  // GENTIAN_CORE_LOG_LEVEL_H_
