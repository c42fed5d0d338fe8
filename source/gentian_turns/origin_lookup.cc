#include "gentian_turns/origin_lookup.h"

#include <utility>

namespace gentian {

origin_lookup::origin_lookup(std::vector<std::string> hosts, std::size_t copies)
    : hosts_(std::move(hosts)), copies_(copies) {}

origin_lookup::asks origin_lookup::Start() {
  if (hosts_.empty()) {
    state_ = state::uncertain;
    return {};
  }
  return AskUpTo(copies_);
}

origin_lookup::asks origin_lookup::AskUpTo(std::size_t count) {
  asks next;
  while (next.size() < count && next_ < hosts_.size()) {
    next.push_back(hosts_[next_++]);
    unanswered_.insert(next.back());
  }
  return next;
}

origin_lookup::asks origin_lookup::OnFound() {
  state_ = state::found;
  return {};
}

origin_lookup::asks origin_lookup::OnAbsent(const std::string& host) {
  return AfterAnswer(host);
}

origin_lookup::asks origin_lookup::OnFailed(const std::string& host) {
  certain_ = false;
  return AfterAnswer(host);
}

origin_lookup::asks origin_lookup::AfterAnswer(const std::string& host) {
  if (state_ != state::pending || unanswered_.erase(host) == 0) {
    return {};
  }
  asks next = AskUpTo(1);
  if (unanswered_.empty()) {
    state_ = certain_ ? state::absent : state::uncertain;
  }
  return next;
}

origin_lookup::asks origin_lookup::OnSlow() {
  return state_ == state::pending ? AskUpTo(unanswered_.size()) : asks();
}

}  // namespace gentian
