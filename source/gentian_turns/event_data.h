#ifndef GENTIAN_TURNS_EVENT_DATA_H_
#define GENTIAN_TURNS_EVENT_DATA_H_

#include <string>
#include <string_view>

namespace gentian {

/** Appends the data of each event followed by a line feed, as the prompt of the
    next turn contains it.

    @param events  whole server-sent events
    @see event_splitter */
void AppendEventData(std::string_view events, std::string& out);

}  // namespace gentian

#endif  // GENTIAN_TURNS_EVENT_DATA_H_
