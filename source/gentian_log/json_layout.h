#ifndef GENTIAN_LOG_JSON_LAYOUT_H_
#define GENTIAN_LOG_JSON_LAYOUT_H_

#include <log4cplus/layout.h>

#include <string>

namespace gentian {

/** Writes a log event as one JSON object a line. The event's message is a
    non-empty JSON object with the fields of the line.
*/
class json_layout : public log4cplus::Layout {
 public:
  /** @param host  name that every line carries */
  explicit json_layout(const std::string& host);

  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  /** The host's name as a JSON string. */
  std::string quoted_host_;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_JSON_LAYOUT_H_
