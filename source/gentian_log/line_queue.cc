#include "gentian_log/line_queue.h"

#include <utility>

namespace gentian {

bool line_queue::Add(const std::string& line, importance kind) {
  const std::size_t bound =
      kind == importance::routine ? max_bytes_ / 2 : max_bytes_;
  if (lines_.size() + line.size() > bound) {
    ++dropped_;
    return false;
  }
  lines_ += line;
  return true;
}

std::string line_queue::TakeAll() {
  return std::exchange(lines_, std::string());
}

}  // namespace gentian
