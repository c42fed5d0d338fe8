#ifndef GENTIAN_LOG_LINE_WRITER_H_
#define GENTIAN_LOG_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_log/line_queue.h"

namespace gentian {

/** Writes lines to a file descriptor on a background thread. If the reader
    stops reading, only that thread blocks; lines that exceed the queue's limit
    are dropped and counted. Thread-safe.
*/
class line_writer {
 public:
  /** @param descriptor  not owned; must stay open
      @param max_bytes   limit for the queued lines */
  line_writer(int descriptor, std::size_t max_bytes);

  /** Flushes the queue, but waits no longer than 200 ms. */
  ~line_writer();

  line_writer(const line_writer&) = delete;
  line_writer& operator=(const line_writer&) = delete;

  /** Queues a line, which includes its newline. Does not block. */
  void Write(const std::string& line, line_queue::importance kind);

  /** Waits until all queued lines are written.

      @returns  false if the timeout expired first */
  bool Flush(milliseconds timeout);

  /** Number of lines dropped since construction: the queue was full, or a write
      failed less than a second before. */
  std::uint64_t dropped() const;

 private:
  struct shared_state;
  static void Run(const std::shared_ptr<shared_state>& state);

  // Shared with the thread, which may be blocked in a write and outlive this
  // object.
  std::shared_ptr<shared_state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_LINE_WRITER_H_
