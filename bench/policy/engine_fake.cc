#include "engine_fake.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gentian::bench {

namespace {

constexpr double kEpsilon = 1e-6;

}  // namespace

double engine_fake::TokenMs(bool prefilling) const {
  const double batch = static_cast<double>(running_.size());
  const double step = kDecodeMs + kDecodeMsPerCall * batch;
  return prefilling ? step / kDecodeDuringPrefill : step;
}

void engine_fake::Start(target_work work, completion done) {
  if (lost_) {
    done(false, call_usage{});
    return;
  }
  Advance();
  running call;
  call.work = std::move(work);
  call.done = std::move(done);
  queue_.push_back(std::move(call));
  Admit();
  Schedule();
}

void engine_fake::Admit() {
  while (!queue_.empty() && running_.size() < settings_.slots) {
    running call = std::move(queue_.front());
    queue_.pop_front();
    if (is_tool_) {
      call.decode_left = call.work.service_ms;
    } else {
      call.cached =
          std::min(Cached(call.work.session), call.work.prompt_tokens);
      call.prefill_left = call.work.prompt_tokens - call.cached;
      call.decode_left = call.work.generated_tokens;
    }
    running_.push_back(std::move(call));
  }
}

void engine_fake::Advance() {
  double elapsed = clock_.now_ms() - updated_ms_;
  updated_ms_ = clock_.now_ms();
  busy_ms_ += elapsed * static_cast<double>(running_.size()) /
              static_cast<double>(settings_.slots);
  if (is_tool_) {
    for (running& call : running_) {
      call.decode_left -= elapsed;
    }
    return;
  }
  const auto prefilling = std::find_if(
      running_.begin(), running_.end(),
      [](const running& call) { return call.prefill_left > kEpsilon; });
  const bool any = prefilling != running_.end();
  for (running& call : running_) {
    if (call.prefill_left <= kEpsilon) {
      call.decode_left -= elapsed / TokenMs(any);
    }
  }
  if (any) {
    prefilling->prefill_left -= elapsed * kPrefillTokensPerMs;
  }
}

void engine_fake::Schedule() {
  double next = std::numeric_limits<double>::infinity();
  bool prefilling = false;
  for (const running& call : running_) {
    if (!prefilling && call.prefill_left > kEpsilon) {
      next = std::min(next, call.prefill_left / kPrefillTokensPerMs);
      prefilling = true;
    }
  }
  for (const running& call : running_) {
    if (call.prefill_left <= kEpsilon) {
      const double unit = is_tool_ ? 1.0 : TokenMs(prefilling);
      next = std::min(next, call.decode_left * unit);
    }
  }
  const std::uint64_t number = ++wakeup_;
  if (!running_.empty()) {
    clock_.After(std::max(next, kEpsilon), [this, number] {
      if (number == wakeup_) {
        Complete();
      }
    });
  }
}

void engine_fake::Complete() {
  Advance();
  std::list<running> finished;
  for (auto it = running_.begin(); it != running_.end();) {
    const auto next = std::next(it);
    if (it->prefill_left <= kEpsilon && it->decode_left <= kEpsilon) {
      finished.splice(finished.end(), running_, it);
    }
    it = next;
  }
  Admit();
  Schedule();
  for (running& call : finished) {
    call_usage usage;
    usage.prompt_tokens = static_cast<std::uint64_t>(call.work.prompt_tokens);
    usage.cached_tokens = static_cast<std::uint64_t>(call.cached);
    usage.generated_tokens =
        static_cast<std::uint64_t>(call.work.generated_tokens);
    if (!is_tool_) {
      StoreCache(call.work.session,
                 call.work.prompt_tokens + call.work.generated_tokens);
    }
    call.done(true, usage);
  }
}

void engine_fake::Lose() {
  Advance();
  lost_ = true;
  ++wakeup_;
  std::list<running> broken = std::move(running_);
  running_.clear();
  for (running& call : queue_) {
    broken.push_back(std::move(call));
  }
  queue_.clear();
  cache_.clear();
  least_recent_.clear();
  cache_used_ = 0;
  for (running& call : broken) {
    call.done(false, call_usage{});
  }
}

target_load engine_fake::Load() const {
  target_load load;
  load.target = settings_.id;
  load.running = static_cast<std::uint32_t>(running_.size());
  load.queued = static_cast<std::uint32_t>(queue_.size());
  load.cached_tokens = static_cast<std::uint64_t>(cache_used_);
  return load;
}

double engine_fake::Cached(const session_id& session) const {
  const auto found = cache_.find(session);
  return found == cache_.end() ? 0 : found->second.tokens;
}

void engine_fake::Notify(target_cache_event::change kind,
                         const session_id& session,
                         double tokens) {
  target_cache_event change;
  change.target = settings_.id;
  change.number = ++event_number_;
  change.kind = kind;
  change.session = session;
  change.tokens = static_cast<std::uint64_t>(tokens);
  listener_(change);
}

void engine_fake::ReleaseCache(const session_id& session) {
  const auto found = cache_.find(session);
  if (found == cache_.end()) {
    return;
  }
  cache_used_ -= found->second.tokens;
  least_recent_.erase(found->second.position);
  cache_.erase(found);
  Notify(target_cache_event::change::evicted, session, 0);
}

void engine_fake::StoreCache(const session_id& session, double tokens) {
  const auto found = cache_.find(session);
  if (found != cache_.end()) {
    cache_used_ -= found->second.tokens;
    least_recent_.erase(found->second.position);
    cache_.erase(found);
  }
  least_recent_.push_back(session);
  cache_[session] = cached_prefix{tokens, std::prev(least_recent_.end())};
  cache_used_ += tokens;
  Notify(target_cache_event::change::stored, session, tokens);
  Evict();
}

void engine_fake::Evict() {
  while (cache_used_ > static_cast<double>(settings_.cache_tokens) &&
         !least_recent_.empty()) {
    const session_id oldest = least_recent_.front();
    ReleaseCache(oldest);
  }
}

target_cache_listing engine_fake::Listing() const {
  target_cache_listing listing;
  listing.target = settings_.id;
  listing.number = event_number_;
  for (const auto& [session, held] : cache_) {
    listing.holdings.push_back(
        {session, static_cast<std::uint64_t>(held.tokens)});
  }
  return listing;
}

double engine_fake::Utilization() const {
  return updated_ms_ > 0 ? busy_ms_ / updated_ms_ : 0;
}

}  // namespace gentian::bench
