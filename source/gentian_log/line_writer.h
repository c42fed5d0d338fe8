#ifndef GENTIAN_LOG_LINE_WRITER_H_
#define GENTIAN_LOG_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_log/line_queue.h"

namespace gentian {

/** Writes lines to a file descriptor on a thread of its own. A reader that
    stops reading holds up that thread only; lines beyond the queue's bound are
    dropped and counted. Thread-safe.
*/
class line_writer {
 public:
  /** @param descriptor  stays open; not owned
      @param max_bytes   bound of the lines that wait */
  line_writer(int descriptor, std::size_t max_bytes);

  /** Writes what it can within kFlushTimeout. */
  ~line_writer();

  line_writer(const line_writer&) = delete;
  line_writer& operator=(const line_writer&) = delete;

  /** Adds a line with its line end. Does not wait for the reader. */
  void Write(const std::string& line, line_queue::importance kind);

  /** Waits until all lines are written.

      @returns  false if the limit passed first */
  bool Flush(milliseconds limit);

  /** Lines that were not written since the process started. */
  std::uint64_t dropped() const;

 private:
  struct shared_state;
  static void Run(const std::shared_ptr<shared_state>& state);

  // The thread may be held up in a write when this object ends.
  std::shared_ptr<shared_state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_LINE_WRITER_H_
