#ifndef GENTIAN_CORE_LOG_LEVEL_H_
#define GENTIAN_CORE_LOG_LEVEL_H_

namespace gentian {

/** How much a log line matters. */
enum class log_level { debug, info, warning, error };

}  // namespace gentian

#endif  // GENTIAN_CORE_LOG_LEVEL_H_
