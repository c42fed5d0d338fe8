#include "gentian_turns/event_data.h"

#include <algorithm>

namespace gentian {

namespace {

constexpr std::string_view kDataField = "data";

}  // namespace

void AppendEventData(std::string_view events, std::string& out) {
  bool has_data = false;
  while (!events.empty()) {
    const std::size_t end = std::min(events.find('\n'), events.size());
    std::string_view line = events.substr(0, end);
    events.remove_prefix(std::min(end + 1, events.size()));
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.empty()) {
      // The end of an event.
      if (has_data) {
        out += '\n';
      }
      has_data = false;
      continue;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    if (line.substr(0, colon) != kDataField) {
      continue;
    }
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    if (!value.empty() && value.front() == ' ') {
      value.remove_prefix(1);
    }
    if (has_data) {
      out += '\n';
    }
    out += value;
    has_data = true;
  }
}

}  // namespace gentian
