#include "gentian_log/json_layout.h"

#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/spi/loggingevent.h>

#include "gentian_core/gentian_core.h"

namespace gentian {

json_layout::json_layout(const std::string& host)
    : quoted_host_(
          json(host).dump(-1, ' ', false, json::error_handler_t::replace)) {}

void json_layout::formatAndAppend(
    log4cplus::tostream& output,
    const log4cplus::spi::InternalLoggingEvent& event) {
  // The message is already serialized JSON, so it is spliced in as text:
  // parsing it again would double the cost of a line.
  output << R"({"time":")"
         << log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ",
                                                 event.getTimestamp(), true)
         << R"(","level":")" << llmCache.toString(event.getLogLevel())
         << R"(","host":)" << quoted_host_ << ','
         << std::string_view(event.getMessage()).substr(1) << '\n';
}

}  // namespace gentian
