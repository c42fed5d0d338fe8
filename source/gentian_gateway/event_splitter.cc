#include "gentian_gateway/event_splitter.h"

namespace gentian {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kCrlfEventEnd = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

}  // namespace

event_splitter::chunk event_splitter::Feed(std::string_view bytes) {
  buffer_.append(bytes);
  chunk complete;
  std::size_t start = 0;
  while (true) {
    const std::size_t plain = buffer_.find(kEventEnd, start);
    const std::size_t crlf = buffer_.find(kCrlfEventEnd, start);
    if (plain == std::string::npos && crlf == std::string::npos) {
      break;
    }
    const std::size_t end =
        plain < crlf ? plain + kEventEnd.size() : crlf + kCrlfEventEnd.size();
    RecordEventId(std::string_view(buffer_).substr(start, end - start));
    ++complete.events;
    start = end;
  }
  complete.bytes = buffer_.substr(0, start);
  buffer_.erase(0, start);
  return complete;
}

void event_splitter::RecordEventId(std::string_view event) {
  std::size_t start = 0;
  while (start < event.size()) {
    std::size_t end = event.find('\n', start);
    if (end == std::string_view::npos) {
      end = event.size();
    }
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (line.substr(0, kIdField.size()) != kIdField) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    while (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    last_id_ = std::string(line);
  }
}

}  // namespace gentian
