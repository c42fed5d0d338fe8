#include "gentian_net/event_stream.h"

#include <utility>

namespace gentian {

std::string FormatEvent(const stream_event& event) {
  std::string text;
  if (!event.id.empty()) {
    text += "id: " + event.id + "\n";
  }
  if (!event.type.empty()) {
    text += "event: " + event.type + "\n";
  }
  std::size_t start = 0;
  while (true) {
    const std::size_t end = event.data.find('\n', start);
    text += "data: " + event.data.substr(start, end - start) + "\n";
    if (end == std::string::npos) {
      break;
    }
    start = end + 1;
  }
  return text + "\n";
}

std::vector<stream_event> event_stream_parser::Feed(std::string_view bytes) {
  std::vector<stream_event> complete;
  if (is_too_long_) {
    return complete;
  }
  // A long line comes in many parts, which are not searched again.
  std::size_t end = bytes.find('\n');
  if (end != std::string_view::npos) {
    end += pending_.size();
  }
  pending_ += bytes;
  std::size_t start = 0;
  while (end != std::string::npos && !is_too_long_) {
    std::string_view line(pending_.data() + start, end - start);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    TakeLine(line, complete);
    start = end + 1;
    end = pending_.find('\n', start);
  }
  pending_.erase(0, start);
  is_too_long_ = is_too_long_ || pending_.size() > kMaxEventBytes;
  if (is_too_long_) {
    pending_ = std::string();
    current_ = stream_event{};
  }
  return complete;
}

void event_stream_parser::TakeLine(std::string_view line,
                                   std::vector<stream_event>& complete) {
  if (line.empty()) {
    if (has_data_) {
      complete.push_back(std::move(current_));
    }
    current_ = stream_event{};
    has_data_ = false;
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = line.substr(colon + 1);
  }
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (name == "data") {
    if (has_data_) {
      current_.data += '\n';
    }
    current_.data += value;
    has_data_ = true;
    is_too_long_ = current_.data.size() > kMaxEventBytes;
  } else if (name == "id") {
    current_.id = value;
  } else if (name == "event") {
    current_.type = value;
  }
}

}  // namespace gentian
