#ifndef GENTIAN_CORE_BOOT_CLOCK_H_
#define GENTIAN_CORE_BOOT_CLOCK_H_

#include "gentian_core/steady_time.h"

namespace gentian {

/** The time since the host was started, time in suspension included.

    The monotonic clock stands still while a host is suspended, so bounds that
    hold for the outside world, such as leases, are measured with this one.
*/
steady_time BootTimeNow();

}  // namespace gentian

#endif  // GENTIAN_CORE_BOOT_CLOCK_H_
