#ifndef GENTIAN_LOG_LINE_SAMPLER_H_
#define GENTIAN_LOG_LINE_SAMPLER_H_

#include <cstdint>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Decides which routine lines are written under load. Each second, the first
    lines are written whatever they tell of; after them only those of one
    subject in sixteen. All processes choose the same subjects, so that the
    lines of one subject are kept or left out together. Not synchronized.
*/
class line_sampler {
 public:
  /** @param subject  the program or request that the line is about */
  bool Keep(const std::string& subject, steady_time now);

  /** Lines left out since the process started. */
  std::uint64_t omitted() const { return omitted_; }

 private:
  steady_time window_start_;
  int lines_in_window_ = 0;
  std::uint64_t omitted_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_LINE_SAMPLER_H_
