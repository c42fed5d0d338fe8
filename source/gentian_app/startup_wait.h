#ifndef GENTIAN_APP_STARTUP_WAIT_H_
#define GENTIAN_APP_STARTUP_WAIT_H_

#include <exception>
#include <functional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Runs an attempt again while it fails with error_kind::unavailable: what it
    needs may still be held by the process before this one, or be in the middle
    of a change. Logs what it waits for.

    @param limit    longest time; the last error is returned then
    @param attempt  may be run again after a failure
    @returns        the last error if a signal to stop is held */
result<success> RetryUntilReady(
    milliseconds limit,
    const std::function<result<success>()>& attempt);

/** The error that an exception during the start stands for. */
error NoResources(const std::exception& failure);

}  // namespace gentian

#endif  // GENTIAN_APP_STARTUP_WAIT_H_
