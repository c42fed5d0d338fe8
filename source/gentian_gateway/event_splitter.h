#ifndef GENTIAN_GATEWAY_EVENT_SPLITTER_H_
#define GENTIAN_GATEWAY_EVENT_SPLITTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace gentian {

/** Splits a stream of server-sent events at event boundaries without changing
    its bytes, so that a broken stream can be resumed after the last complete
    event.
*/
class event_splitter {
 public:
  /** Whole events, as received. */
  struct chunk {
    std::string bytes;
    int events = 0;
  };

  /** Longest event that is accepted. */
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  /** Adds bytes and returns the events that they complete. */
  chunk Feed(std::string_view bytes);

  /** True if the partial event is longer than any sound one: the stream is no
      series of events. */
  bool IsOverflowing() const { return buffer_.size() > kMaxEventBytes; }

  /** Discards a partial event before the stream is resumed from another run. */
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
