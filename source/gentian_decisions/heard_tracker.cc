#include "gentian_decisions/heard_tracker.h"

#include <algorithm>

namespace gentian {

namespace {

constexpr milliseconds kStep{500};
constexpr std::uint8_t kUnknown = 15;

}  // namespace

void heard_tracker::UseSettings(const configuration& settings) {
  order_.clear();
  for (const auto& [host, daemon] : settings.daemons) {
    order_.push_back(host);
  }
}

void heard_tracker::Heard(const host_id& host, steady_time now) {
  const auto [it, added] = last_.try_emplace(host, now);
  it->second = std::max(it->second, now);
}

std::vector<std::uint8_t> heard_tracker::Export(steady_time now) const {
  std::vector<std::uint8_t> ages((order_.size() + 1) / 2, 0xff);
  for (std::size_t i = 0; i < order_.size(); ++i) {
    std::uint8_t age = kUnknown;
    const auto found = last_.find(order_[i]);
    if (order_[i] == self_) {
      age = 0;
    } else if (found != last_.end()) {
      // Rounded up, so that passing an age on never makes it younger.
      const auto steps = (now - found->second + kStep - duration(1)) / kStep;
      age = static_cast<std::uint8_t>(std::min<std::int64_t>(kUnknown, steps));
    }
    const int shift = i % 2 == 0 ? 0 : 4;
    ages[i / 2] = static_cast<std::uint8_t>((ages[i / 2] & ~(0x0f << shift)) |
                                            (age << shift));
  }
  return ages;
}

void heard_tracker::Import(const std::vector<std::uint8_t>& ages,
                           steady_time now) {
  if (ages.size() != (order_.size() + 1) / 2) {
    return;
  }
  for (std::size_t i = 0; i < order_.size(); ++i) {
    const int shift = i % 2 == 0 ? 0 : 4;
    const std::uint8_t age = (ages[i / 2] >> shift) & 0x0f;
    if (age < kUnknown && order_[i] != self_) {
      Heard(order_[i], now - kStep * age);
    }
  }
}

bool heard_tracker::HeardMajority(duration within, steady_time now) const {
  std::size_t heard = 0;
  for (const host_id& host : order_) {
    const auto found = last_.find(host);
    const bool recent = found != last_.end() && now - found->second < within;
    heard += host == self_ || recent ? 1 : 0;
  }
  return order_.empty() || heard * 2 > order_.size();
}

}  // namespace gentian
