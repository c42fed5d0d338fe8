#include "gentian_decisions/kv_watcher.h"

#include <utility>

namespace gentian {

namespace {

using status = kv_answer::status;

constexpr milliseconds kWait{30'000};

}  // namespace

kv_watcher::kv_watcher(kv_access& kv, std::string prefix, listener& owner)
    : kv_(kv), prefix_(std::move(prefix)), owner_(owner) {}

void kv_watcher::Tick(node_context& context) {
  if (context.now < not_before_) {
    return;
  }
  if (state_ == state::must_read) {
    state_ = state::reading;
    owner_.ReadAll(*this, context);
  } else if (state_ == state::must_watch) {
    Watch(context);
  }
}

void kv_watcher::Follow(std::uint64_t revision, node_context& context) {
  revision_ = revision;
  delay_.Reset();
  Watch(context);
}

void kv_watcher::ReadFailed(node_context& context) {
  state_ = state::must_read;
  Delay(context);
}

void kv_watcher::Watch(node_context& context) {
  state_ = state::watching;
  kv_.Call(
      kv_watch{prefix_, revision_, kWait}, kv_access::priority::configuration,
      [this](const kv_answer& answer, node_context& later) {
        Handle(answer, later);
      },
      context);
}

void kv_watcher::Handle(const kv_answer& answer, node_context& context) {
  const bool restored =
      answer.outcome == status::ok && answer.revision < revision_;
  if (answer.outcome == status::compacted || restored) {
    // A lower revision means that the service was restored from a backup.
    context.counters.Add("kv.watch_read_again");
    state_ = state::must_read;
    Tick(context);
    return;
  }
  if (answer.outcome != status::ok) {
    state_ = state::must_watch;
    Delay(context);
    return;
  }
  revision_ = answer.revision;
  delay_.Reset();
  if (!answer.entries.empty() || !answer.deleted.empty()) {
    owner_.KeysChanged(*this, answer, context);
  }
  Watch(context);
}

void kv_watcher::Delay(node_context& context) {
  not_before_ = context.now + delay_.NextDelay(context.random);
}

}  // namespace gentian
