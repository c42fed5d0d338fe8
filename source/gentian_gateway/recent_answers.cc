#include "gentian_gateway/recent_answers.h"

namespace gentian {

namespace {

constexpr std::size_t kMaxAnswers = 2'000;

}  // namespace

void recent_answers::Add(const std::string& fingerprint,
                         steady_time answered_at) {
  const auto [place, is_new] =
      answered_.insert_or_assign(fingerprint, answered_at);
  if (!is_new) {
    return;
  }
  order_.push_back(place->first);
  if (order_.size() > kMaxAnswers) {
    answered_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<steady_time> recent_answers::Find(
    const std::string& fingerprint) const {
  const auto found = answered_.find(fingerprint);
  return found == answered_.end() ? std::nullopt
                                  : std::optional<steady_time>(found->second);
}

}  // namespace gentian
