#ifndef GENTIAN_LOG_LINE_SAMPLER_H_
#define GENTIAN_LOG_LINE_SAMPLER_H_

#include <cstdint>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Samples routine log lines under load. In each second, the first 200 lines
    are kept regardless of subject; after that, only those of one subject in
    sixteen are. That choice is made by a hash of the subject, so that all
    processes keep the same subjects. Not thread-safe.
*/
class line_sampler {
 public:
  /** Decides whether a line is written.

      @param subject  id of the program or request that the line is about */
  bool Keep(const std::string& subject, steady_time now);

  /** Number of lines not kept since construction. */
  std::uint64_t omitted() const { return omitted_; }

 private:
  steady_time window_start_;
  int lines_in_window_ = 0;
  std::uint64_t omitted_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_LINE_SAMPLER_H_
