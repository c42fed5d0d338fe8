#ifndef GENTIAN_GATEWAY_DAEMON_MESSAGE_TIME_H_
#define GENTIAN_GATEWAY_DAEMON_MESSAGE_TIME_H_

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Reads a time, in whole milliseconds, from a message of another gateway.

    @param most  bounds the result, as the message may be damaged
    @returns     between zero and `most`
    @throws json::exception if the field is missing or no number */
milliseconds ReadMilliseconds(const json& message,
                              const char* name,
                              milliseconds most);

/** Time since the Unix epoch on this host's clock, for messages and records
   that other hosts read. */
milliseconds UnixTimeNow();

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_MESSAGE_TIME_H_
