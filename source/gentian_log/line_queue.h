#ifndef GENTIAN_LOG_LINE_QUEUE_H_
#define GENTIAN_LOG_LINE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace gentian {

/** Bounded buffer of log lines that wait to be written. As it fills, routine
    lines are dropped before essential ones. Not thread-safe.
*/
class line_queue {
 public:
  /** Which lines are dropped first when the reader is slow. */
  enum class importance {
    /** Reports a successful request; dropped first. */
    routine,
    /** Reports a failure or a change in the state of the process. */
    essential,
  };

  /** @param max_bytes  limit for all lines; a routine line is dropped once the
                        queue would be more than half full */
  explicit line_queue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /** Appends a line, which includes its newline. If there is no room, drops and
      counts it and returns false. */
  bool Add(const std::string& line, importance kind);

  /** Removes and returns all lines in insertion order. */
  std::string TakeAll();

  bool empty() const { return lines_.empty(); }

  /** Number of lines dropped since construction. */
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::size_t max_bytes_;
  std::string lines_;
  std::uint64_t dropped_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_LINE_QUEUE_H_
