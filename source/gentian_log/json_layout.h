#ifndef GENTIAN_LOG_JSON_LAYOUT_H_
#define GENTIAN_LOG_JSON_LAYOUT_H_

#include <log4cplus/layout.h>

#include <string>

namespace gentian {

/** Formats each log event as a JSON object on one line. The event's message is
    a serialized, non-empty JSON object with the fields of the line.
*/
class json_layout : public log4cplus::Layout {
 public:
  /** @param host  value of the field `host` of every line */
  explicit json_layout(const std::string& host);

  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  /** Host name as a JSON string literal. */
  std::string quoted_host_;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_JSON_LAYOUT_H_
