#ifndef GENTIAN_CORE_BOOT_CLOCK_H_
#define GENTIAN_CORE_BOOT_CLOCK_H_

#include "gentian_core/steady_time.h"

namespace gentian {

/** The time since the host booted, including time in suspension.

    The monotonic clock does not advance while a host is suspended, so time
    limits that other hosts rely on, such as leases, are measured with this
    clock.
*/
steady_time BootTimeNow();

}  // namespace gentian

#endif  // GENTIAN_CORE_BOOT_CLOCK_H_
