#include "gentian_gateway/event_splitter.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <system_error>

namespace gentian {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kCrlfEventEnd = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";

std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, failure] = std::from_chars(text.data(), last, value);
  return failure == std::errc() && end == last ? std::optional(value)
                                               : std::nullopt;
}

// Identifiers that are no numbers have no order; only a repetition shows.
bool IsAfter(std::string_view id, std::string_view last) {
  const std::optional<std::uint64_t> number = ReadNumber(id);
  const std::optional<std::uint64_t> last_number = ReadNumber(last);
  return number && last_number ? *number > *last_number : id != last;
}

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
    if (!RecordEventId(std::string_view(buffer_).substr(start, end - start))) {
      is_out_of_order_ = true;
      break;
    }
    ++complete.events;
    start = end;
  }
  complete.bytes = buffer_.substr(0, start);
  buffer_.erase(0, start);
  return complete;
}

bool event_splitter::RecordEventId(std::string_view event) {
  bool has_data = false;
  std::string_view id;
  std::size_t start = 0;
  while (start < event.size()) {
    std::size_t end = event.find('\n', start);
    if (end == std::string_view::npos) {
      end = event.size();
    }
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    has_data |= line.substr(0, kDataField.size()) == kDataField;
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
    id = line;
  }
  if (id.empty()) {
    is_resumable_ &= !has_data;
    return true;
  }
  if (!last_id_.empty() && !IsAfter(id, last_id_)) {
    return false;
  }
  last_id_ = std::string(id);
  is_resumable_ = true;
  return true;
}

}  // namespace gentian
