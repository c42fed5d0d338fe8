#ifndef GENTIAN_GATEWAY_EVENT_SPLITTER_H_
#define GENTIAN_GATEWAY_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace gentian {

/** Cuts a stream of server-sent events at the ends of events and leaves its
    bytes as they are. A broken stream can then be resumed after the last event
    that is complete.
*/
class event_splitter {
 public:
  /** The bytes up to the last end of an event. */
  struct chunk {
    std::string bytes;
    int events = 0;
  };

  /** Adds bytes and returns the events that they complete. */
  chunk Feed(std::string_view bytes);

  /** Drops a partial event, because the stream goes on in another run. */
  void DiscardPartialEvent() { buffer_.clear(); }

  /** Bytes after the last complete event. */
  const std::string& partial_event() const { return buffer_; }

  /** Identifier of the last complete event that has one. */
  const std::string& last_id() const { return last_id_; }

 private:
  void RecordEventId(std::string_view event);

  std::string buffer_;
  std::string last_id_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_EVENT_SPLITTER_H_
