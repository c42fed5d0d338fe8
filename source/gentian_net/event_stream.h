#ifndef GENTIAN_NET_EVENT_STREAM_H_
#define GENTIAN_NET_EVENT_STREAM_H_

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
  /** Adds bytes and returns the events that they complete. */
  std::vector<stream_event> Feed(std::string_view bytes);

 private:
  void TakeLine(std::string_view line, std::vector<stream_event>& complete);

  std::string pending_;
  stream_event current_;
  bool has_data_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_NET_EVENT_STREAM_H_
