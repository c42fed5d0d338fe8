#ifndef GENTIAN_LOG_LINE_QUEUE_H_
#define GENTIAN_LOG_LINE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace gentian {

/** Log lines that wait to be written, within a bound in bytes. Routine lines
    are refused first. Not synchronized.
*/
class line_queue {
 public:
  /** How a line is treated when its reader is slow. */
  enum class importance {
    /** Tells of a request that went well. */
    routine,
    /** Tells of a failure, or of what the process believes. */
    essential,
  };

  /** @param max_bytes  bound of all lines; routine ones may fill half of it */
  explicit line_queue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /** Adds a line with its line end; false, and counted, if there is no room. */
  bool Add(const std::string& line, importance kind);

  /** Removes all lines, in the order in which they were added. */
  std::string TakeAll();

  bool empty() const { return lines_.empty(); }

  /** Lines that found no room since the process started. */
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::size_t max_bytes_;
  std::string lines_;
  std::uint64_t dropped_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_LINE_QUEUE_H_
