#include "gentian_net/memory_budget.h"

#include <utility>

namespace gentian {

memory_budget::holding::holding(memory_budget& budget,
                                std::function<void()> on_taken_back)
    : budget_(budget),
      id_(budget.NextId()),
      on_taken_back_(std::move(on_taken_back)) {}

memory_budget::holding::~holding() {
  Resize(0);
}

bool memory_budget::holding::Resize(std::size_t bytes) {
  const std::size_t counted = bytes > kUncountedBytes ? bytes : 0;
  if (counted == counted_) {
    return true;
  }
  const bool is_new = counted_ == 0;
  counted_ = counted;
  return budget_.Resize(id_, counted, is_new ? &on_taken_back_ : nullptr);
}

void memory_budget::holding::Keep() {
  if (counted_ > 0) {
    budget_.Keep(id_);
  }
}

void memory_budget::SetCapacity(std::size_t capacity) {
  const std::lock_guard<std::mutex> lock(mutex_);
  capacity_ = capacity;
}

void memory_budget::SetObserver(
    std::function<void(std::size_t bytes, std::size_t used)> observer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  observer_ = std::move(observer);
}

std::size_t memory_budget::used() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return used_;
}

std::uint64_t memory_budget::taken_back() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return taken_back_;
}

std::uint64_t memory_budget::NextId() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ++last_id_;
}

bool memory_budget::Resize(std::uint64_t id,
                           std::size_t bytes,
                           const std::function<void()>* on_taken_back) {
  std::vector<std::function<void()>> handlers;
  bool fits = true;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (on_taken_back != nullptr) {
      entries_[id].on_taken_back = *on_taken_back;
    }
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
      // It was taken back.
      return bytes == 0;
    }
    const bool grows = bytes > found->second.bytes;
    used_ += bytes;
    used_ -= found->second.bytes;
    found->second.bytes = bytes;
    if (bytes == 0) {
      entries_.erase(found);
    } else if (grows && capacity_ > 0) {
      fits = MakeRoom(id, handlers);
    }
  }
  for (const std::function<void()>& next : handlers) {
    next();
  }
  return fits;
}

void memory_budget::Keep(std::uint64_t id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.is_kept = true;
  }
}

bool memory_budget::MakeRoom(std::uint64_t growing,
                             std::vector<std::function<void()>>& handlers) {
  while (used_ > capacity_) {
    auto largest = entries_.end();
    for (auto next = entries_.begin(); next != entries_.end(); ++next) {
      if (!next->second.is_kept &&
          (largest == entries_.end() ||
           next->second.bytes > largest->second.bytes)) {
        largest = next;
      }
    }
    if (largest == entries_.end()) {
      return true;
    }
    const bool is_own = largest->first == growing;
    if (!is_own) {
      handlers.push_back(std::move(largest->second.on_taken_back));
    }
    if (observer_) {
      observer_(largest->second.bytes, used_);
    }
    used_ -= largest->second.bytes;
    ++taken_back_;
    entries_.erase(largest);
    if (is_own) {
      return false;
    }
  }
  return true;
}

}  // namespace gentian
