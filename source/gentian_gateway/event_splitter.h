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

  /** Discards what came after the last complete event, before the stream is
      resumed from another run. */
  void DiscardPartialEvent() {
    buffer_.clear();
    is_out_of_order_ = false;
  }

  /** Bytes after the last complete event. */
  const std::string& partial_event() const { return buffer_; }

  /** Identifier of the last complete event that has one. */
  const std::string& last_id() const { return last_id_; }

  /** Sets the identifier after which the stream goes on. */
  void SetLastId(const std::string& id) { last_id_ = id; }

  /** True if an event came whose identifier is not above that of the one
      before. It and what follows it are not returned. */
  bool IsOutOfOrder() const { return is_out_of_order_; }

  /** True if what follows the last complete event can be asked for: its data
      came under an identifier. */
  bool IsResumable() const { return is_resumable_; }

 private:
  /** Records the identifier; false if it is out of order. */
  bool RecordEventId(std::string_view event);

  std::string buffer_;
  std::string last_id_;
  bool is_out_of_order_ = false;
  bool is_resumable_ = true;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_EVENT_SPLITTER_H_
