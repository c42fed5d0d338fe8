#include "gentian_net/connection_cache.h"

#include <utility>

namespace gentian::detail {

namespace {

// Servers commonly close idle connections after 5 s or more; a younger one is
// unlikely to be closed at the moment at which it is used again.
constexpr std::chrono::seconds kMaxIdle{4};
constexpr std::size_t kMaxIdlePerAddress = 32;

}  // namespace

std::shared_ptr<byte_stream> connection_cache::Take(
    const std::string& address) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& streams = idle_[address];
  while (!streams.empty()) {
    idle_stream last = std::move(streams.back());
    streams.pop_back();
    if (now - last.since < kMaxIdle && !last.stream->HasInput()) {
      return last.stream;
    }
  }
  return nullptr;
}

void connection_cache::Put(const std::string& address,
                           std::shared_ptr<byte_stream> stream) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& streams = idle_[address];
  if (streams.size() >= kMaxIdlePerAddress) {
    streams.erase(streams.begin());
  }
  streams.push_back(idle_stream{std::move(stream), now});
}

void connection_cache::Clear() {
  const std::lock_guard<std::mutex> lock(mutex_);
  idle_.clear();
}

}  // namespace gentian::detail
