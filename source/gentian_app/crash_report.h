#ifndef GENTIAN_APP_CRASH_REPORT_H_
#define GENTIAN_APP_CRASH_REPORT_H_

#include <string>

namespace gentian {

/** Logs an exception that ended the handling of one event. */
void LogException(const std::string& message);

/** From now on, a line on standard error names the cause when an exception that
    nothing handles, or a fault of the processor, ends the process. Runs before
    main, and again in main. */
void ReportCrashes();

}  // namespace gentian

#endif  // GENTIAN_APP_CRASH_REPORT_H_
