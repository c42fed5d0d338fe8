#include "gentian_daemon/json_layout.h"

#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/spi/loggingevent.h>

#include <utility>

#include "gentian_core/json.h"

namespace gentian {

json_layout::json_layout(std::string host) : host_(std::move(host)) {}

void json_layout::formatAndAppend(
    log4cplus::tostream& output,
    const log4cplus::spi::InternalLoggingEvent& event) {
  // Ordered, so that time, level and message stand first in each line.
  nlohmann::ordered_json line;
  line["time"] = log4cplus::helpers::getFormattedTime(
      "%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true);
  line["level"] = llmCache.toString(event.getLogLevel());
  const json fields = json::parse(event.getMessage(), nullptr, false);
  if (fields.is_object()) {
    line["message"] = fields.value("message", "");
    line["host"] = host_;
    for (const auto& [name, value] : fields.items()) {
      line[name] = value;
    }
  } else {
    line["message"] = event.getMessage();
    line["host"] = host_;
  }
  output << line.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
}

}  // namespace gentian
