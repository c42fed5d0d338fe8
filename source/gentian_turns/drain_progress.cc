#include "gentian_turns/drain_progress.h"

#include <algorithm>

namespace gentian {

void drain_progress::OnRead(const journal_request& request,
                            std::int64_t journal) {
  if (!request.excludes_store) {
    read_to_.erase(request.reader);
    return;
  }
  read_to_[request.reader] = request.journal == journal ? request.after : 0;
}

bool drain_progress::IsComplete(const turn_store_directory& directory,
                                std::int64_t last) const {
  const turn_store_directory::records& others = directory.accepting();
  return !others.empty() &&
         std::all_of(others.begin(), others.end(), [&](const auto& other) {
           const auto found = read_to_.find(other.first);
           return found != read_to_.end() && found->second >= last;
         });
}

}  // namespace gentian
