#include "gentian_gateway/blocked_requests.h"

#include <algorithm>
#include <iterator>

namespace gentian {

namespace {

// A fault is often removed by a release within minutes.
constexpr milliseconds kFirstBlock{60'000};
constexpr milliseconds kLongestBlock{600'000};
constexpr int kMaxDoublings = 4;
// Time for which the number of earlier blocks is known.
constexpr milliseconds kRetention{900'000};

}  // namespace

milliseconds blocked_requests::Block(const std::string& fingerprint,
                                     steady_time now) {
  EvictOld(now);
  entry& subject = blocked_[fingerprint];
  if (subject.until > now) {
    return milliseconds(0);
  }
  const milliseconds length =
      std::min(kLongestBlock,
               kFirstBlock * (1 << std::min(subject.blocks, kMaxDoublings)));
  ++subject.blocks;
  subject.until = now + length;
  return length;
}

bool blocked_requests::Add(const std::string& fingerprint,
                           milliseconds left,
                           steady_time now) {
  EvictOld(now);
  entry& subject = blocked_[fingerprint];
  if (subject.until > now) {
    return false;
  }
  subject.until = now + std::min(left, kLongestBlock);
  ++subject.blocks;
  return true;
}

duration blocked_requests::TimeLeft(const std::string& fingerprint,
                                    steady_time now) const {
  const auto found = blocked_.find(fingerprint);
  return found == blocked_.end()
             ? duration(0)
             : std::max<duration>(duration(0), found->second.until - now);
}

std::vector<std::string> blocked_requests::Current(steady_time now) const {
  std::vector<std::string> current;
  for (const auto& [fingerprint, subject] : blocked_) {
    if (subject.until > now) {
      current.push_back(fingerprint);
    }
  }
  return current;
}

void blocked_requests::EvictOld(steady_time now) {
  for (auto next = blocked_.begin(); next != blocked_.end();) {
    next = now - next->second.until > kRetention ? blocked_.erase(next)
                                                 : std::next(next);
  }
}

}  // namespace gentian
