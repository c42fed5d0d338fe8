#include "gentian_turns/turn_write.h"

#include <utility>

namespace gentian {

turn_write::turn_write(std::vector<std::string> candidates, std::size_t copies)
    : candidates_(std::move(candidates)), copies_(copies) {}

turn_write::sends turn_write::SendTo(std::size_t count) {
  sends hosts;
  while (hosts.size() < count && next_ < candidates_.size()) {
    hosts.push_back(candidates_[next_++]);
    unanswered_.insert(hosts.back());
  }
  return hosts;
}

turn_write::sends turn_write::Start() {
  return SendTo(copies_);
}

turn_write::sends turn_write::OnStored(const std::string& host) {
  unanswered_.erase(host);
  stored_.insert(host);
  return {};
}

turn_write::sends turn_write::OnFailed(const std::string& host) {
  unanswered_.erase(host);
  const std::size_t expected = stored_.size() + unanswered_.size();
  return SendTo(expected < copies_ ? copies_ - expected : 0);
}

turn_write::sends turn_write::OnSlow() {
  return current() == state::pending ? SendTo(unanswered_.size()) : sends();
}

turn_write::state turn_write::current() const {
  if (stored_.size() >= copies_) {
    return state::durable;
  }
  return unanswered_.empty() && next_ >= candidates_.size() ? state::failed
                                                            : state::pending;
}

}  // namespace gentian
