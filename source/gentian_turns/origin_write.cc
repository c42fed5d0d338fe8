#include "gentian_turns/origin_write.h"

#include <utility>

namespace gentian {

origin_write::origin_write(std::vector<std::string> candidates,
                           std::size_t copies)
    : candidates_(std::move(candidates)), copies_(copies) {}

origin_write::sends origin_write::SendTo(std::size_t count) {
  sends hosts;
  while (hosts.size() < count && next_ < candidates_.size()) {
    const std::string& host = candidates_[next_++];
    if (reached_.insert(host).second) {
      unanswered_.insert(host);
      hosts.push_back(host);
    }
  }
  return hosts;
}

origin_write::sends origin_write::Start() {
  ++round_;
  outdated_.insert(reached_.begin(), reached_.end());
  stored_.clear();
  unanswered_ = outdated_;
  reached_ = outdated_;
  next_ = 0;
  sends hosts(outdated_.begin(), outdated_.end());
  if (hosts.size() < copies_) {
    const sends others = SendTo(copies_ - hosts.size());
    hosts.insert(hosts.end(), others.begin(), others.end());
  }
  return hosts;
}

origin_write::sends origin_write::OnStored(const std::string& host, int round) {
  if (round == round_ && unanswered_.erase(host) > 0) {
    stored_.insert(host);
    outdated_.erase(host);
  }
  return {};
}

origin_write::sends origin_write::OnFailed(const std::string& host,
                                           int round,
                                           bool is_unchanged) {
  if (round != round_) {
    return {};
  }
  unanswered_.erase(host);
  if (is_unchanged) {
    reached_.erase(host);
  }
  const std::size_t expected = stored_.size() + unanswered_.size();
  return SendTo(expected < copies_ ? copies_ - expected : 0);
}

origin_write::sends origin_write::OnSlow() {
  return IsDurable() ? sends() : SendTo(unanswered_.size());
}

bool origin_write::IsDurable() const {
  return stored_.size() >= copies_ && outdated_.empty();
}

bool origin_write::IsExhausted() const {
  return unanswered_.empty() && next_ >= candidates_.size();
}

}  // namespace gentian
