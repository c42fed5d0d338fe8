#include "gentian_net/connection_cache.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace gentian::detail {

namespace {

// Servers commonly close idle connections after 5 s or more; a younger one is
// unlikely to be closed at the moment at which it is used again.
constexpr std::chrono::seconds kDefaultIdle{4};
// Announced times are whole seconds, and the server may count from an earlier
// moment than this side.
constexpr std::chrono::milliseconds kAnnouncedMargin{700};
constexpr std::chrono::seconds kMaxAnnounced{60};
constexpr std::string_view kTimeoutName = "timeout=";
constexpr std::size_t kMaxIdlePerAddress = 32;
constexpr std::chrono::seconds kSweepInterval{1};

}  // namespace

std::shared_ptr<byte_stream> connection_cache::Take(
    const std::string& address) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& streams = idle_[address];
  while (!streams.empty()) {
    idle_stream last = std::move(streams.back());
    streams.pop_back();
    if (now < last.usable_until && !last.stream->HasInput()) {
      return last.stream;
    }
  }
  return nullptr;
}

void connection_cache::Put(const std::string& address,
                           std::shared_ptr<byte_stream> stream,
                           std::optional<duration> announced) {
  const auto now = std::chrono::steady_clock::now();
  const duration usable =
      announced ? *announced - kAnnouncedMargin : duration(kDefaultIdle);
  if (usable <= duration::zero()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (now - swept_at_ >= kSweepInterval) {
    swept_at_ = now;
    Sweep(now);
  }
  auto& streams = idle_[address];
  if (streams.size() >= kMaxIdlePerAddress) {
    streams.erase(streams.begin());
  }
  streams.push_back(idle_stream{std::move(stream), now + usable});
}

void connection_cache::Sweep(steady_time now) {
  for (auto next = idle_.begin(); next != idle_.end();) {
    auto& streams = next->second;
    const auto is_useless = [now](const idle_stream& idle) {
      return now >= idle.usable_until || idle.stream->HasInput();
    };
    streams.erase(std::remove_if(streams.begin(), streams.end(), is_useless),
                  streams.end());
    next = streams.empty() ? idle_.erase(next) : std::next(next);
  }
}

void connection_cache::Clear() {
  const std::lock_guard<std::mutex> lock(mutex_);
  idle_.clear();
}

std::optional<duration> KeepAliveTime(std::string_view header) {
  const std::size_t start = header.find(kTimeoutName);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view number = header.substr(start + kTimeoutName.size());
  int seconds = 0;
  const auto [end, failure] =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (failure != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::min<duration>(kMaxAnnounced, std::chrono::seconds(seconds));
}

}  // namespace gentian::detail
