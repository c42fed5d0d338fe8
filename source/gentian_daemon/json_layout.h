#ifndef GENTIAN_DAEMON_JSON_LAYOUT_H_
#define GENTIAN_DAEMON_JSON_LAYOUT_H_

#include <log4cplus/layout.h>

#include <string>

namespace gentian {

/** Writes a log event as one JSON object a line. The event's message is a
    JSON object with the fields of the line.
*/
class json_layout : public log4cplus::Layout {
 public:
  /** @param host  name that every line carries */
  explicit json_layout(std::string host);

  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  std::string host_;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_JSON_LAYOUT_H_
