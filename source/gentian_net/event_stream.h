#ifndef GENTIAN_NET_EVENT_STREAM_H_
#define GENTIAN_NET_EVENT_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gentian {

/** One server-sent event. */
struct stream_event {
  /** Empty if the event carries no id. */
  std::string id;
  /** Empty for the default type "message". */
  std::string type;
  std::string data;
};

/** The text of an event as it goes over the wire. */
std::string FormatEvent(const stream_event& event);

/** A comment, which keeps a quiet stream alive. */
constexpr std::string_view kStreamComment = ": keep-alive\n\n";

/** Splits a byte stream into server-sent events. Comments are dropped. */
class event_stream_parser {
 public:
  /** Most bytes of an event, and of a line. */
  static constexpr std::size_t kMaxEventBytes = 8 * 1024 * 1024;

  /** Adds bytes and returns the events that they complete. */
  std::vector<stream_event> Feed(std::string_view bytes);

  /** True once an event was too long. No event comes after it. */
  bool is_too_long() const { return is_too_long_; }

 private:
  void TakeLine(std::string_view line, std::vector<stream_event>& complete);

  std::string pending_;
  stream_event current_;
  bool has_data_ = false;
  bool is_too_long_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_NET_EVENT_STREAM_H_
