#include "gentian_turns/chain_lookup.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

// Bounds a lookup in case that damaged records form a cycle.
constexpr std::size_t kMaxParts = 256;

}  // namespace

chain_lookup::chain_lookup(std::string turn_id, std::vector<std::string> hosts)
    : hosts_(std::move(hosts)), wanted_(std::move(turn_id)) {}

chain_lookup::reads chain_lookup::Start() {
  return AskFor(std::move(wanted_), "");
}

chain_lookup::reads chain_lookup::AskFor(std::string turn_id,
                                         const std::string& not_at) {
  wanted_ = std::move(turn_id);
  unasked_ = hosts_;
  unasked_.erase(std::remove(unasked_.begin(), unasked_.end(), not_at),
                 unasked_.end());
  unanswered_.clear();
  certain_ = true;
  if (unasked_.empty()) {
    state_ = state::uncertain;
    return {};
  }
  return AskUpTo(1);
}

chain_lookup::reads chain_lookup::AskUpTo(std::size_t count) {
  reads next;
  const std::size_t end = std::min(count, unasked_.size());
  for (std::size_t i = 0; i < end; ++i) {
    unanswered_.insert(unasked_[i]);
    next.push_back({unasked_[i], wanted_});
  }
  unasked_.erase(unasked_.begin(),
                 unasked_.begin() + static_cast<std::ptrdiff_t>(end));
  return next;
}

bool chain_lookup::IsCurrent(const read& answered) const {
  return state_ == state::pending && answered.turn_id == wanted_ &&
         unanswered_.count(answered.host) > 0;
}

chain_lookup::reads chain_lookup::OnPart(const read& answered,
                                         chain_part part) {
  if (!IsCurrent(answered)) {
    return {};
  }
  if (parts_.empty()) {
    conversation_ = std::move(part.conversation);
  }
  parts_.push_back(std::move(part.history));
  if (part.missing.empty()) {
    state_ = state::found;
    return {};
  }
  if (parts_.size() >= kMaxParts) {
    state_ = state::uncertain;
    return {};
  }
  return AskFor(std::move(part.missing), answered.host);
}

chain_lookup::reads chain_lookup::OnAbsent(const read& answered) {
  return AfterAnswer(answered);
}

chain_lookup::reads chain_lookup::OnUncertain(const read& answered) {
  if (IsCurrent(answered)) {
    certain_ = false;
  }
  return AfterAnswer(answered);
}

chain_lookup::reads chain_lookup::AfterAnswer(const read& answered) {
  if (!IsCurrent(answered)) {
    return {};
  }
  unanswered_.erase(answered.host);
  reads others = AskUpTo(unasked_.size());
  if (unanswered_.empty()) {
    // A turn was kept only after the turns before it.
    const bool absent = certain_ && parts_.empty();
    state_ = absent ? state::absent : state::uncertain;
  }
  return others;
}

chain_lookup::reads chain_lookup::OnSlow() {
  // One at a time: the answer may be large.
  return state_ == state::pending ? AskUpTo(1) : reads();
}

std::string chain_lookup::TakePrompt(const std::string& input) {
  std::size_t size = input.size();
  for (const std::string& part : parts_) {
    size += part.size();
  }
  std::string prompt;
  prompt.reserve(size);
  for (; !parts_.empty(); parts_.pop_back()) {
    prompt += parts_.back();
  }
  return prompt += input;
}

}  // namespace gentian
